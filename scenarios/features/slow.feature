Feature: Targets that serve slowly
  A slow target answers health checks and still keeps callers waiting.

  Scenario: A target that turns slow gets no more work
    Given 2 nodes with 3 targets each
    And traffic of 150 lookups a second
    When target 2 turns slow
    Then target 2 is soon out of rotation
    And all lookups are answered
    And every promise holds

  Scenario: A slow target returns once it is well again
    Given 2 nodes with 3 targets each
    And traffic of 150 lookups a second
    When target 2 turns slow
    Then target 2 is soon out of rotation
    When target 2 is well again
    Then target 2 is back in rotation within 40 s
    And every promise holds

  Scenario: A service that is slow as a whole loses no target
    Given 2 nodes with 3 targets each
    And traffic of 40 lookups a second
    When every target turns twice as slow
    And 3 s go by
    Then no target was taken out of rotation
    And all lookups are answered
    And every promise holds

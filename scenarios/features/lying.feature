Feature: Targets whose health and load mislead

  Scenario: A sick target claims to be well and idle
    Given 2 nodes with 3 targets each
    And traffic of 150 lookups a second
    When target 2 turns slow and claims to have no load
    Then target 2 is soon out of rotation
    And every promise holds

  Scenario: A well target claims to be sick
    Given 2 nodes with 3 targets each
    And traffic of 60 lookups a second
    When target 2 claims to be sick
    And 3 s go by
    Then no target was taken out of rotation
    And every promise holds

  Scenario: All targets claim to be overloaded
    Given 2 nodes with 3 targets each
    And traffic of 60 lookups a second
    When every target claims to be overloaded
    And 2 s go by
    Then all lookups are answered
    And no target was taken out of rotation
    And every promise holds

Feature: Targets that flap between well and sick

  Scenario: A flapping target is found in one of its sick spells
    Given 2 nodes with 3 targets each
    And traffic of 150 lookups a second
    When target 2 flaps
    Then target 2 is soon out of rotation
    And all lookups are answered
    And every promise holds

  Scenario: A target that flaps between refusing and serving
    Given 2 nodes with 3 targets each
    And traffic of 150 requests a second
    When target 2 flaps between refusing and serving
    And 3 s go by
    Then all lookups are answered
    And every promise holds

Feature: Healthy capacity stays above the floor

  Scenario: Most targets answer wrongly and the floor keeps the least sick
    Given a floor of 70%
    And 2 nodes with 3 targets each
    And traffic of 120 lookups a second
    When targets 1 and 2 answers wrongly
    And targets 4 and 5 answers wrongly
    And 3 s go by
    Then every promise holds

  Scenario: All targets stall and none can be spared
    Given a deadline of 1 s
    And a floor of 60%
    And 2 nodes with 2 targets each
    And traffic of 60 lookups a second
    When every target stalls
    And 3 s go by
    Then every promise holds

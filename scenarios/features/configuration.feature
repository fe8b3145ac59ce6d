Feature: Changes of the configuration

  Scenario: A change is soon in force at every node
    Given 3 nodes with 1 targets each
    And traffic of 40 lookups a second
    When an operator changes the deadline to 3 s
    Then the change is soon in force at every node
    And all lookups are answered
    And every promise holds

  Scenario: Changes that follow each other never go back
    Given 3 nodes with 1 targets each
    And traffic of 40 lookups a second
    When an operator changes the deadline to 3 s
    And an operator changes the deadline to 4 s
    And an operator changes the deadline to 5 s
    Then the change is soon in force at every node
    And every promise holds

  Scenario: Two operators change the same service at once
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When two operators change the template and the account at once
    Then the change is soon in force at every node
    And every promise holds

  Scenario: A node that was away takes over what it missed
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When node 2 stops
    And an operator changes the deadline to 3 s
    And node 2 starts again
    Then the change is soon in force at every node
    And every promise holds

Feature: The platform's store fails

  Scenario: Callers notice nothing of a store that is down
    Given 2 nodes with 2 targets each
    And traffic of 60 requests a second
    When the store is down
    And 2 s go by
    Then all requests are answered
    And every promise holds

  Scenario: A change made after an outage is in force soon
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When the store refuses all calls
    And 1 s go by
    And the store is back
    And an operator changes the deadline to 3 s
    Then the change is soon in force at every node
    And every promise holds

  Scenario: The answer to an operator's write is lost
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When the store loses the answer to a write
    And an operator changes the deadline to 3 s
    Then the change is soon in force at every node
    And every promise holds

  Scenario: All leases lapse at once
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When the store ends all leases
    And an operator changes the deadline to 3 s
    Then the change is soon in force at every node
    And every promise holds

  Scenario: The store answers as of long ago
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When an operator changes the deadline to 3 s
    And the store answers as of long ago
    And 2 s go by
    Then the change is soon in force at every node
    And every promise holds

  Scenario: A node restarts while the store is down
    Given 2 nodes with 2 targets each
    And traffic of 40 lookups a second
    When the store is down
    And node 2 stops
    And node 2 starts again
    Then callers get answers again
    And every promise holds

  Scenario: A target turns slow while the store is down
    Given 2 nodes with 3 targets each
    And traffic of 150 lookups a second
    When the store is down
    And target 2 turns slow
    Then target 2 is soon out of rotation
    And all lookups are answered
    And every promise holds

Feature: Nodes that crash and nodes that freeze
  Here each node is a process: it is killed, or stopped where it stands.

  Scenario: A node crashes under captures
    Given 2 nodes as processes with 3 targets each
    And traffic of 100 captures a second
    When every target turns slow
    And 0.5 s go by
    And node 2 crashes
    Then some captures are cut off
    And every promise holds

  Scenario: A node crashes and its targets go on serving the others' callers
    Given 2 nodes as processes with 3 targets each
    And traffic of 100 requests a second
    When node 2 crashes
    And 3 s go by
    Then callers get answers again
    And at least 40% of the requests are answered
    And every promise holds

  Scenario: A node crashes and starts again at its address
    Given 2 nodes as processes with 3 targets each
    And traffic of 100 requests a second
    When node 2 crashes
    And node 2 starts again
    Then target 4 is soon in rotation
    And callers get answers again
    And every promise holds

  Scenario: A node freezes and goes on
    Given a deadline of 1 s
    And 2 nodes as processes with 3 targets each
    And traffic of 100 requests a second
    When node 2 freezes for 3 s
    Then callers get answers again
    And target 1 is soon in rotation
    And target 4 is soon in rotation
    And every promise holds

  Scenario: The holder of the lease freezes until it has lapsed
    Given 3 nodes as processes with 1 targets each
    And traffic of 40 lookups a second
    When the node that holds the lease freezes
    And an operator changes the deadline to 3 s
    Then the change is soon in force at every node
    When the frozen node wakes after its lease has lapsed
    And an operator changes the deadline to 4 s
    Then the change is soon in force at every node
    And every promise holds

Feature: Nodes that stop and start

  Scenario: A node stops and cuts nothing off
    Given 2 nodes with 3 targets each
    And traffic of 100 requests a second
    When node 2 stops
    Then no requests are told unknown
    And every promise holds

  Scenario: A node restarts and its host's targets stay known
    Given 2 nodes with 3 targets each
    And traffic of 100 requests a second
    When node 2 stops
    And node 2 starts again
    Then callers get answers again
    And target 4 is soon in rotation
    And every promise holds

  Scenario: A node stops while a target stalls
    Given a deadline of 1 s
    And 2 nodes with 3 targets each
    And traffic of 100 requests a second
    When target 1 stalls
    And node 2 stops
    Then target 1 is soon out of rotation
    And every promise holds

  Scenario: A node and one of its targets leave together
    Given 2 nodes with 3 targets each
    And traffic of 100 requests a second
    When target 4 announces that it leaves
    And node 2 stops
    Then no requests are told unknown
    And every promise holds

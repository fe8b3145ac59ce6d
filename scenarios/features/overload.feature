Feature: More work than the targets bear

  Scenario: What is refused did not run and says so
    Given a deadline of 1 s
    And a queue of 8 at each node
    And 1 node with 1 targets of 2 slots
    When 400 captures are sent at 1000 a second
    Then at least 5% of the captures are answered
    And no captures are told unknown
    And every promise holds

  Scenario: Targets shed all work and take it again
    Given 2 nodes with 3 targets each
    When every target sheds all work
    And 20 lookups are sent at 50 a second
    Then all lookups are told not run
    When every target is well again
    Then callers get answers again
    And every promise holds

  Scenario: A burst while a target is slow
    Given a deadline of 1 s
    And 2 nodes with 3 targets each
    And traffic of 60 lookups a second
    When target 2 turns slow
    And 200 lookups are sent at 400 a second
    Then target 2 took less than an equal share of the lookups
    And no lookups are cut off
    And every promise holds

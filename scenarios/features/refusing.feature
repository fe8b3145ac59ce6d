Feature: Targets that refuse connections

  Scenario: Callers notice nothing of a target that refuses
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 6 refuses connections
    Then target 6 is soon out of rotation
    And all lookups are answered
    And only captures that target 6 had begun are left unanswered
    And every promise holds

  Scenario: Nothing listens any more
    Given a deadline of 1 s
    And 1 node with 2 targets of 4 slots
    When every target refuses connections
    And 10 captures are sent at 20 a second
    Then all captures are told not run
    And every promise holds

  Scenario: Service returns with its targets
    Given a deadline of 1 s
    And 1 node with 2 targets of 4 slots
    When every target refuses connections
    And 10 lookups are sent at 20 a second
    Then no lookups are answered
    When every target is well again
    Then callers get answers again
    And every promise holds

  Scenario: A target crashes and is gone
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 2 crashes
    Then target 2 is soon out of rotation
    And every promise holds

  Scenario: A target restarts at the same address
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 2 restarts at its address
    Then target 2 is soon in rotation
    And every promise holds

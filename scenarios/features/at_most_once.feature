Feature: Work that must not repeat runs at most once

  Scenario: A capture is repeated only where it was shed
    Given 2 nodes with 3 targets each
    And traffic of 100 captures a second
    When target 1 sheds all work
    And 2 s go by
    Then all captures are answered
    And every promise holds

  Scenario: Every target loses its answers
    Given a deadline of 1 s
    And 1 node with 2 targets of 4 slots
    When every target loses its answers
    And 6 captures are sent at 20 a second
    Then all captures are told unknown
    And every promise holds

  Scenario: Connections break while captures run
    Given 2 nodes with 3 targets each
    And traffic of 120 captures a second
    When target 1 resets connections in the middle of answers
    And target 4 truncates answers
    And 2 s go by
    Then no captures are told not run
    And every promise holds

  Scenario: A target crashes and comes back at its address under captures
    Given 2 nodes with 3 targets each
    And traffic of 120 captures a second
    When target 2 crashes
    And target 2 restarts at its address
    And 1 s go by
    Then every promise holds

  Scenario: Captures while targets flap and stall
    Given a deadline of 1 s
    And 2 nodes with 3 targets each
    And traffic of 120 captures a second
    When target 1 flaps between refusing and serving
    And target 5 stalls
    Then target 5 is soon out of rotation
    And every promise holds

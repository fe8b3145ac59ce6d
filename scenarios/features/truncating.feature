Feature: Targets that cut their answers short

  Scenario: A truncated answer is never passed off as whole
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 3 truncates answers
    Then target 3 is soon out of rotation
    And every promise holds

  Scenario: A connection reset in the middle of an answer
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 3 resets connections in the middle of answers
    Then target 3 is soon out of rotation
    And every promise holds

  Scenario: A target that truncates some answers and is slow besides
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 5 truncates some answers and is slow
    Then target 5 is soon out of rotation
    And every promise holds

Feature: Targets that answer wrongly
  A wrong answer has a status or a body that the template does not allow.

  Scenario: A target that answers wrongly gets no more work
    Given 2 nodes with 3 targets each
    And traffic of 120 lookups a second
    When target 1 answers wrongly
    Then target 1 is soon out of rotation
    And all lookups are answered
    And every promise holds

  Scenario: A target that answers wrongly at times is found as well
    Given 2 nodes with 3 targets each
    And traffic of 120 lookups a second
    When target 4 answers wrongly at times
    Then target 4 is soon out of rotation
    And all lookups are answered
    And every promise holds

  Scenario: A capture that was answered wrongly is not sent again
    Given 2 nodes with 3 targets each
    And traffic of 100 captures a second
    When target 1 answers wrongly
    Then target 1 is soon out of rotation
    And every promise holds

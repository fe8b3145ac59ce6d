Feature: Targets that leave

  Scenario: A leaving target gets no new work and cuts nothing off
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 2 leaves
    Then all requests are answered
    And every promise holds

  Scenario: A target announces that it leaves and stays up
    Given 2 nodes with 3 targets each
    And traffic of 120 requests a second
    When target 2 announces that it leaves
    Then target 2 soon gets no new work
    And all requests are answered
    And every promise holds

  Scenario: A target leaves while another turns slow
    Given 2 nodes with 3 targets each
    And traffic of 120 lookups a second
    When target 1 turns slow
    And target 2 leaves
    Then target 1 is soon out of rotation
    And all lookups are answered
    And every promise holds

  Scenario: Two targets leave one after the other
    Given 2 nodes with 3 targets each
    And traffic of 100 requests a second
    When target 1 leaves
    And target 4 leaves
    Then all requests are answered
    And every promise holds

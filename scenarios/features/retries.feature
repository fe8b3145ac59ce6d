Feature: Retries

  Scenario: A lookup is repeated on another target
    Given 2 nodes with 3 targets each
    And traffic of 100 lookups a second
    When target 1 sheds all work
    And 2 s go by
    Then all lookups are answered
    And every promise holds

  Scenario: A service that fails as a whole is not flooded with repeats
    Given 2 nodes with 3 targets each
    And traffic of 100 lookups a second
    When every target answers wrongly
    And 3 s go by
    Then a lookup ran 1.3 times on average at most
    And every promise holds

  Scenario: A slow lookup is hedged and answered once
    Given hedging after 0.05 s
    And 2 nodes with 3 targets each
    And traffic of 100 lookups a second
    When target 2 turns slow
    Then target 2 is soon out of rotation
    And all lookups are answered
    And every promise holds

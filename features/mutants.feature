Feature: The oracle reports a missing mechanism

  # Guards against an oracle whose checks pass even if a promise is broken.
  Scenario Outline: The oracle reports the mutant that breaks <promise>
    When the mutant that breaks <promise> is run
    Then the oracle reports that <promise> was broken

    Examples:
      | promise |
      | P1      |
      | P2      |
      | P3      |
      | P5      |
      | P6      |
      | P7      |
      | P9      |

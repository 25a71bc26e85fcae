Feature: The oracle notices when a mechanism is missing

  # Guards against an oracle that can't fail.
  Scenario Outline: Without a mechanism, the oracle reports <promise>
    When a run is made without what keeps <promise>
    Then the oracle says that <promise> was broken

    Examples:
      | promise |
      | P1      |
      | P2      |
      | P3      |
      | P5      |
      | P6      |
      | P7      |
      | P9      |

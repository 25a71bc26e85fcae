Feature: Node processes on the users' platform under injected faults

  # Guards against failures that occur only with real processes, signals and
  # connections. These seeds have failed before; soak/README.md has the causes.
  Scenario Outline: A short soak run violates no guarantee
    When the soak runs seed <seed> with 4 hosts for 6 s
    Then no guarantee was violated and more than 100 requests succeeded
    And the run had a roll-out and refusals by key and by usage cap
    And the run had large and pipelined responses

    Examples:
      | seed |
      | 4    |
      | 203  |
      | 205  |
      | 300  |
      | 1502 |

Feature: All promises hold under any faults, in any order

  # Guards against faults that need several steps, several nodes or several
  # failures together.
  Scenario: Runs that the machine makes up keep all promises
    When the stateful machine makes up 6 runs of 25 steps
    Then the oracle has compared each promise that it knows

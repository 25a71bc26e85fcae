Feature: All promises hold under any sequence of faults

  # Guards against broken promises, for example a second run or a return to an
  # older configuration, that appear only after several operations, on several
  # nodes or during several faults at the same time.
  Scenario: Generated runs keep all promises
    When the state machine generates 6 runs of 25 steps
    Then the oracle has made each of its checks

Feature: Real processes on the users' platform under faults from outside

  # Guards against faults that need real processes, signals and connections. The
  # seeds that have failed run again; soak/README.md names their causes.
  Scenario Outline: A short run of the soak breaks no promise
    When the soak runs seed <seed> with 4 hosts for 6 s
    Then no promise was broken and more than 100 requests were answered

    Examples:
      | seed |
      | 4    |
      | 203  |
      | 205  |
      | 300  |

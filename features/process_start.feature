Feature: The start of a node's process on the platform

  # Guards against a process that SIGHUP ends without a log line, because it
  # arrives before the process handles signals (soak, seed 300).
  Scenario: A reload during the start does not end the process
    When SIGHUP arrives while the process imports its libraries
    Then the process continues and reads its settings

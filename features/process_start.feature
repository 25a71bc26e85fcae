Feature: The start of a node's process on the platform

  # Guards against a process that SIGHUP ends without a log line, because it
  # arrives before the process handles signals (soak, seed 300).
  Scenario: A reload during the start does not end the process
    When SIGHUP arrives while the process imports its libraries
    Then the process continues and reads its settings

  # Guards against a process that SIGHUP ends while it imports the modules that
  # make its other imports cheap (soak, seeds 1140, 1240 and 1251).
  Scenario: A reload before the first import does not end the process
    When SIGHUP arrives before the process imports a module of its own
    Then the process continues and reads its settings

Feature: The start of a node's process on the platform

  # Guards against a node that is ended without a line by a reload that comes
  # before it handles signals (soak, seed 300).
  Scenario: A reload during the start does not end the process
    When SIGHUP comes while the process loads its libraries
    Then the process goes on to read its settings

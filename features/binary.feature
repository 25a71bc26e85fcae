Feature: The executable needs no checkout, packages or writable disk

  # Guards against an executable that unpacks its archive, starts a process or
  # depends on environment variables.
  Scenario: A node starts no process and writes no file
    Given the built executable, copied to an empty folder
    When it runs a node under strace with an empty environment
    Then the node passes its health check
    And the trace shows no child process
    And the trace shows no file opened for writing
    And a write to a closed connection does not end it
    And it ends with exit code 0 on SIGTERM

Feature: One file runs where there is no checkout, no package and no disk

  Scenario: A node starts no process and writes no file
    Given the built executable, copied to an empty folder
    When it runs a node under a trace with an empty environment
    Then the node answers its health check
    And the trace shows no child process
    And the trace shows no file opened for writing
    And a write to a closed connection does not end it
    And it ends with exit code 0 on SIGTERM

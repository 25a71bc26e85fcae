Feature: A node's process is free of what it does not use

  # OpenSSL costs about 4 MiB of the 32 MB that a node may use.
  Scenario: OpenSSL is loaded when TLS is used and not before
    When a process prepares itself and imports the node
    Then OpenSSL is not loaded
    And it is loaded once a TLS context is made

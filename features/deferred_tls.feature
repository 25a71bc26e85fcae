Feature: A node loads no library that it does not use

  # Guards against an import that loads OpenSSL, which takes about 4 MiB of the
  # 32 MB that a node may use.
  Scenario: OpenSSL is loaded only when TLS is used
    When a process defers TLS and imports the node
    Then OpenSSL is not loaded
    And it is loaded once a TLS context is created

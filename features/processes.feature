Feature: Node processes handle signals

  # Guards against a stop whose announcement reaches gateways and callers too
  # late, so that requests are interrupted or run twice.
  Scenario: A planned stop interrupts no request
    Given three nodes whose upstreams work for 50 ms
    When a node gets SIGTERM while callers send requests through all nodes
    Then every request succeeds, no request runs twice, and it exits with 0

  # Guards against a node that operators can't stop while requests are running.
  Scenario: A second signal ends a node at once
    Given three nodes whose upstreams work for 1500 ms
    When a node that serves a request gets SIGTERM twice
    Then it exits with 75 within 1 s of the second signal

  # Guards against a second run of a request that the caller repeats through
  # another node after the first one's connection broke.
  Scenario: A request whose gateway was killed runs at most once
    Given three nodes whose upstreams work for 1500 ms
    When a node gets SIGKILL during a keyed request that is repeated elsewhere
    Then the request ran once

  # Guards against a paused owner of claims that other nodes never replace, and
  # against a request that runs although its response said not-run.
  Scenario: A paused node delays others for 5 s at most
    Given three nodes whose upstreams work for 20 ms
    When a node is paused for 6 s while other nodes get keyed requests
    Then each ran at most once, and all sent over 5 s into the pause succeeded

  # Guards against nodes that drop their configuration, or grant a key again,
  # when the log has lost its records.
  Scenario: The log restarts without its records
    Given three nodes whose upstreams work for 5 ms
    When the log is killed and restarted without its records
    Then idempotent requests succeeded and the configuration stayed in force
    And keyed requests ran at most once and were refused without the log

  # Guards against a stand-in for an upstream that ends because the node to which
  # it announces itself stops at that moment, so that its runs can't be read.
  Scenario: A stand-in survives a node that resets its announcements
    Given a listener that resets each connection
    When a stand-in for an upstream announces itself to it for 1 second
    Then it has tried again and still runs

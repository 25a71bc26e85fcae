Feature: Real processes under signals

  Scenario: A planned stop cuts no request
    Given three nodes whose upstreams work for 50 ms
    When a node gets SIGTERM while callers send requests through all nodes
    Then every request is answered, no request runs twice, and it exits with 0

  Scenario: A second signal ends a node at once
    Given three nodes whose upstreams work for 1500 ms
    When a node that serves a request gets SIGTERM twice
    Then it exits with 75 within 1 s of the second

  Scenario: A request whose gateway was killed runs at most once
    Given three nodes whose upstreams work for 1500 ms
    When a node gets SIGKILL during a keyed request that is sent again elsewhere
    Then the request ran once

  Scenario: A paused node delays others for 5 s at most
    Given three nodes whose upstreams work for 20 ms
    When a node is paused for 6 s while keyed requests go on elsewhere
    Then each ran at most once, and all were answered after 5 s of the pause

  Scenario: The log is lost and starts empty
    Given three nodes whose upstreams work for 5 ms
    When the log is killed and starts again without its records
    Then idempotent requests went on and the configuration stayed in force
    And keyed requests ran at most once and were refused without the log

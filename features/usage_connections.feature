Feature: Idle connections for queries about usage caps

  # Guards against memory that grows with the fleet: an idle connection takes an
  # owner 5.3 KiB, and each of 800 nodes may ask it once.
  Scenario: An owner closes the connections that were idle for longest
    When 300 gateways ask an owner for tokens once, one each 0.1 s
    Then 180 connections are open
    And the first gateway gets another token on a new connection

  # Guards against an owner that closes connections which are about to be used:
  # it spent 0.2 ms on a new connection for each query of a busy organisation.
  Scenario: An owner keeps the connections in frequent use
    When 250 gateways ask an owner for tokens once a second for 4 s
    Then 250 connections were opened

  # Guards against a gateway that keeps a connection to each node that it ever
  # asked.
  Scenario: A gateway keeps the connections to the owners it asked last
    When a gateway asks 200 owners for tokens, one each 0.1 s
    Then 128 connections are open
    And the gateway reuses those to the 128 owners that it asked last

  # Guards against an exchange that fails because its node's other connections
  # are closed at the same time as silent ones.
  Scenario: A connection is acquired while the idle ones are purged
    When a gateway has 3 expired connections to an owner that it acquires and purges at once
    Then it gets a new connection each time

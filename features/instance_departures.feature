Feature: An acknowledged departure of an instance stays in effect

  # Guards against a departure that is acknowledged and ignored, because a
  # report of another writer, with a later start, made all true ones outdated.
  Scenario Outline: A departure is followed after a report of another writer
    Given a host whose instance serves requests
    When a report of <writer> with a later start arrives
    And the instance reports that it is draining
    Then the first report got 400 and the second 200
    And no further request reaches the instance

    Examples:
      | writer                                      |
      | another instance of an unnamed service      |
      | another instance of another named service   |
      | the same instance with an unnamed service   |

  # Guards against a departed instance that is in use again after a restart of
  # its node, because a report from before the departure arrives late.
  Scenario Outline: A late report does not reverse a departure after a restart
    Given two hosts that serve requests
    When the first instance departs by <call>
    And <nodes> restarted <times> and a report from before arrives <delay> s later
    Then no request of the next 8 s reaches the departed instance

    Examples:
      | call       | nodes              | times | delay |
      | draining   | the first node is  | once  | 0     |
      | draining   | the first node is  | once  | 1.5   |
      | deregister | the first node is  | once  | 0     |
      | deregister | the first node is  | twice | 0     |
      | draining   | the first node is  | twice | 1.5   |
      | deregister | both nodes are     | once  | 0     |
      | draining   | both nodes are     | once  | 1.5   |
      | draining   | both nodes are     | twice | 0     |

  # Guards against a departure that is acknowledged and ignored, because the
  # instance started again under its id and leaves before its first report.
  Scenario: The departure of a later start than the one in use is followed
    Given a host whose instance serves requests
    When the start 2000 of the instance departs and a report of the start 1000 follows
    Then no further request reaches the instance

  # Guards against an instance that is not used after it started again under its
  # id, because the departure of the start before arrives late.
  Scenario: The departure of an earlier start does not stop a later one
    Given a host whose instance runs but has not reported
    When the start 500 of the instance departs and a report of the start 1000 follows
    Then a further request reaches the instance

  # Guards against a departed instance that is in use again after a restart of
  # all nodes, because only their processes knew of the departure, and a health
  # check that succeeds shows nothing of it.
  Scenario: A departure outlasts the processes of all nodes
    Given two hosts that serve requests
    When the first instance departs while its health check succeeds
    And both nodes are restarted once and a report from before arrives 0 s later
    Then no request of the next 8 s reaches the departed instance

  # Guards against an instance that exits without an acknowledgement, because
  # its departure waits for a store that does not respond.
  Scenario: A departure is acknowledged while the store is silent
    Given two hosts that serve requests
    When the store falls silent and the first instance departs
    Then the departure was acknowledged within 1 s
    And no request of the next 8 s reaches the departed instance

  # Guards against an instance that is never used, because an odd departure
  # names a start that no boot of it will reach.
  Scenario: A departure with a start in the far future is rejected
    Given a host whose instance serves requests
    When a departure with a start in the far future arrives
    Then it got 400
    And a further request reaches the instance

  # Guards against calls to the store, each of which has a price, for departures
  # that another writer makes up.
  Scenario: Departures of instances that are not in use are not stored
    Given a host whose instance serves requests
    When 20 departures of other instances arrive
    Then the store got no call
    And a further request reaches the instance

  # Guards against an acknowledgement that waits for a departure which an earlier
  # process has stored.
  Scenario: A departure that is stored already is acknowledged at once
    Given two hosts that serve requests
    When the first instance departs by draining
    And the first node is restarted once and a report from before arrives 1 s later
    And the first instance reports once more that it is draining
    Then the departure was acknowledged within 0.1 s

Feature: Each connection has a share of the processor

  # Guards against a connection that uses more than its share over time, and
  # against waits of a connection that uses less.
  Scenario Outline: A connection waits once it has used up its share
    When a connection causes <work> ms of work every <interval> ms for 60 s
    Then it has caused at most <total> ms of work and has waited <waits>

    Examples:
      | work | interval | total | waits |
      | 0.02 | 0        | 1521  | often |
      | 5    | 0        | 1525  | often |
      | 0.4  | 20       | 1201  | never |
      | 2    | 100      | 1202  | never |

  # Guards against messages that are handled without a wait as long as they are
  # buffered: heartbeats without end made 79 of 240 requests of others fail.
  Scenario: Other tasks run while buffered messages are handled
    When 20000 heartbeats of a node are received from memory
    Then receiving took at least 14 s and other tasks ran at least 300 times

  # Guards against a cancelled wait that loses a message or the debt of the
  # connection.
  Scenario: A cancelled wait for the share loses no message
    When 5000 messages are received with waits of at most 1 ms
    Then all messages arrived in order, over at least 3 s

  # Guards against one long message that is handled without a wait.
  Scenario: Other tasks run while a long membership update is merged
    When a neighbour sends a message with 15000 members
    Then all of them are merged, at most 64 in an iteration of the event loop

  # Guards against requests that are answered without a wait as long as they are
  # buffered: reports without end made 117 of 240 requests of others fail.
  Scenario: Other tasks run while buffered requests are answered
    When 500 requests of one connection to a responder are read from memory
    Then answering took at least 6 s, at most 1 in an iteration of the event loop

  # Guards against an iteration of the event loop in which many connections get
  # their response: 800 scrapes at once took 252 ms.
  Scenario: Requests of many connections are answered one at a time
    When 200 connections to a responder send a request at the same time
    Then answering took at least 0 s, at most 1 in an iteration of the event loop

  # Guards against memory that grows with the number of connections: 800 that had
  # sent a scrape each took 12 MiB.
  Scenario: Many idle connections to a responder are closed
    When 200 connections to a responder send a request and stay open
    Then each got its response, and 64 remain open

  # Guards against refusals without a wait as long as requests are buffered:
  # they made 26 of 240 requests of others fail.
  Scenario: Refused requests of one connection are limited
    Given a platform that serves requests
    When a caller sends 400 requests without a route at once
    Then all of them get 404, over at least 3 s

Feature: Callers send requests without waiting for responses

  # Guards against a slow request that delays the work of those behind it, and
  # against responses in another order.
  Scenario Outline: Requests behind a slow one run at the same time
    Given a route of kind "idempotent" and 2 hosts
    When a caller sends GET requests that take "600, 50, 300, 50" ms, <pause> ms apart
    Then the responses arrive in order, the last one after <least> to <most> ms

    Examples:
      | pause | least | most |
      | 0     | 600   | 650  |
      | 20    | 600   | 700  |

  # Guards against requests that overtake one whose effects they may depend on,
  # or whose repetition would be wrong.
  Scenario Outline: Other requests run one after another
    Given a route of kind "<kind>" and 2 hosts
    When a caller sends <method> requests that take "300, 200, 100" ms, 0 ms apart
    Then the responses arrive in order, the last one after 600 to 700 ms
    And no two requests have run at the same time

    Examples:
      | kind           | method |
      | non_idempotent | GET    |
      | idempotent     | PUT    |
      | idempotent     | DELETE |

  # Guards against bodies whose bytes are taken for requests, or that are lost.
  Scenario: A request with a body between others
    Given a route of kind "idempotent" and 2 hosts
    When a caller sends a GET, a PUT with a body of 3000 bytes, a chunked PUT, and a GET
    Then each response belongs to its request, and the bodies have arrived

  # Guards against nodes that read without limit for callers that send more than
  # they can have answered.
  Scenario Outline: The number and the bytes of requests that are read ahead
    Given a route of kind "idempotent" and 4 hosts
    When a caller sends 30 GET requests with <header> bytes of headers behind one of 900 ms
    Then <count> requests have been read meanwhile, and all get responses in order

    Examples:
      | header | count |
      | 10     | 9     |
      | 12000  | 4     |

  # Guards against callers that together use up the memory of a node.
  Scenario: The number of requests that run ahead on a node
    Given a route of kind "idempotent" and 2 hosts
    When 12 callers send 9 GET requests of 100 ms each at the same time
    Then at most 64 requests run ahead, and all callers get their responses

  # Guards against deadlines that begin only when the requests in front have
  # been answered.
  Scenario Outline: The deadline of a request counts from its arrival
    Given a route of kind "idempotent" and 2 hosts
    When a caller sends a GET of 600 ms, and a <method> of 100 ms with a deadline of 300 ms
    Then the second response has status <status> and its request has run <runs> times

    Examples:
      | method | status | runs |
      | GET    | 200    | 1    |
      | DELETE | 503    | 0    |

  # Guards against requests that run although the caller announced the end, and
  # against responses behind the last one.
  Scenario: Requests behind a request that closes the connection
    Given a route of kind "idempotent" and 2 hosts
    When a caller sends 2 GET requests, one that closes the connection, and 2 more
    Then 3 responses arrive, the connection ends, and 3 requests have run

  # Guards against responses of later requests in place of the rest of a
  # truncated one.
  Scenario: A response fails in the middle with requests behind it
    Given a route of kind "idempotent" and 1 host
    When the first of 4 pipelined responses fails after 400000 bytes
    Then the connection ends without another response
    And the log says that 3 pipelined requests were discarded

  # Guards against refusals that arrive before the responses in front of them.
  Scenario: Refused and malformed requests in the pipeline
    Given a route of kind "idempotent" and 2 hosts
    When a caller sends a GET, one without a route, another GET, and bytes that are no request
    Then the statuses are "200, 404, 200, 400" and the connection ends

  # Guards against a head that never ends and keeps what was read before it from
  # being answered, or the connection open.
  Scenario: The head of a pipelined request does not arrive in time
    Given a route of kind "idempotent" and 2 hosts
    When a caller sends a GET and half a head
    Then the statuses are "200, 408" and the connection ends after 10 to 11 s

  # Guards against a planned stop that leaves requests unanswered which have been
  # read, and against reading more of them.
  Scenario: A node shuts down with requests in its pipeline
    Given a route of kind "idempotent" and 2 hosts
    When a node drains while 4 pipelined requests have been read and 2 more arrive
    Then 4 responses arrive, only the last of them closes the connection
    And the shutdown reports that it interrupted nothing

  # Guards against work for callers that have left.
  Scenario: A caller leaves with requests in its pipeline
    Given a route of kind "idempotent" and 2 hosts
    When a caller leaves while 3 pipelined requests run
    Then no request of the caller runs or waits 300 ms later
    And the log names each of the 3 requests as abandoned

  # Guards against large responses that wait in memory without limit, or are
  # mixed up.
  Scenario: Large responses behind a slow request
    Given a route of kind "download" and 2 hosts
    And instances with responses of 150000 bytes
    When a caller sends GET requests that take "600, 50, 50" ms, 0 ms apart
    Then all large responses are complete, the last one within 900 ms

  # Guards against tasks for connections whose callers wait for each response.
  Scenario: Connections without pipelining
    Given a route of kind "idempotent" and 1 host
    When 10 callers send 3 requests each, one after another
    Then each connection has one task, and nothing was read ahead

  # Guards against responses that are lost, repeated or mixed up by some order of
  # writes, methods and durations.
  Scenario: Random pipelines
    Given a route of kind "idempotent" and 2 hosts
    When 40 callers with random seeds send 30 random requests in random pieces
    Then each gets all its responses in order

  # Guards against dropping requests of a caller that has closed only its sending
  # side, on nodes that keep such connections.
  Scenario: A caller closes its sending side behind its requests
    When a caller of a product node sends "/slow/2, /a, /slow/1" and closes its sending side
    Then it receives 3 responses in order within 2.5 s, and the connection ends

Feature: Callers send requests without waiting for responses

  Requests are written as method and milliseconds of work, then what is unusual
  about them.

  # Guards against a slow request that delays the work of those behind it, against
  # responses in another order, and against requests that overtake one whose
  # effects they may depend on or whose repetition would be wrong.
  Scenario Outline: Requests of one connection
    Given a route of kind "<kind>" and 2 hosts
    When a caller sends "<requests>", <pause> ms apart
    Then the statuses are "<statuses>", the last one after <least> to <most> ms
    And <runs> requests have run, <together> of them at the same time

    Examples: requests that may run beside others
      | kind       | requests                     | pause | statuses           | least | most | runs | together |
      | idempotent | GET 600, GET 50, GET 300     | 0     | 200, 200, 200      | 600   | 650  | 3    | 3        |
      | idempotent | GET 600, GET 50, GET 300     | 20    | 200, 200, 200      | 600   | 650  | 3    | 3        |
      | download   | GET 300, OPTIONS 300         | 0     | 200, 200           | 300   | 350  | 2    | 2        |

    Examples: requests that may not
      | kind           | requests                     | pause | statuses      | least | most | runs | together |
      | non_idempotent | GET 300, GET 200, GET 100    | 0     | 200, 200, 200 | 600   | 700  | 3    | 1        |
      | idempotent     | PUT 300, PUT 200, PUT 100    | 0     | 200, 200, 200 | 600   | 700  | 3    | 1        |
      | idempotent     | DELETE 300, GET 200, GET 100 | 0     | 200, 200, 200 | 500   | 550  | 3    | 2        |

    # Bodies look like further requests.
    Examples: bodies
      | kind       | requests                                            | pause | statuses           | least | most | runs | together |
      | idempotent | GET 50, PUT 50 body, PUT 50 chunked, GET 50, GET 50 | 0     | 200, 200, 200, 200, 200 | 200   | 250  | 5    | 2        |

    # The deadlines of 300 ms begin when the requests arrive.
    Examples: deadlines
      | kind       | requests                     | pause | statuses | least | most | runs | together |
      | idempotent | GET 600, GET 100 soon        | 0     | 200, 200 | 600   | 650  | 2    | 2        |
      | idempotent | GET 600, DELETE 100 soon     | 0     | 200, 503 | 600   | 650  | 1    | 1        |

    Examples: refused requests
      | kind       | requests                              | pause | statuses           | least | most  | runs | together |
      | idempotent | GET 300, GET 0 unknown, GET 50, BAD 0 | 0     | 200, 404, 200, 400 | 350   | 400   | 2    | 1        |
      | idempotent | GET 50, HALF 0                        | 0     | 200, 408           | 10000 | 11000 | 1    | 1        |

    Examples: the end of a connection
      | kind       | requests                                      | pause | statuses      | least | most | runs | together |
      | idempotent | GET 50, GET 50, GET 50 close, GET 50, GET 50  | 0     | 200, 200, 200 | 50    | 100  | 3    | 3        |

  # Guards against nodes that read without limit for callers that send more than
  # they can have answered.
  Scenario Outline: The number and the bytes of requests that are read ahead
    Given a route of kind "idempotent" and 4 hosts
    When a caller sends 30 requests with <header> bytes of headers behind a slow one
    Then <count> requests have been read meanwhile, and all get responses in order

    Examples:
      | header | count |
      | 10     | 9     |
      | 12000  | 4     |

  # Guards against callers that together use up the memory of a node, and against
  # responses that are lost or mixed up by some order of writes, methods and work.
  Scenario: Random pipelines of many callers
    Given a route of kind "idempotent" and 2 hosts
    When 40 callers send 30 random requests each in random pieces
    Then all get their responses in order, and at most 64 requests have run ahead

  # Guards against responses of later requests in place of the rest of a
  # truncated one.
  Scenario: A response fails in the middle with requests behind it
    Given a route of kind "idempotent" and 1 host
    And responses of 540000 bytes that fail after 400000
    When a caller sends "GET 50, GET 50, GET 50, GET 50", 0 ms apart
    Then only a part of the first response arrives
    And the log has 1 line with "event=pipelined_requests_discarded count=3"

  # Guards against large responses that wait in memory without limit, or are
  # mixed up.
  Scenario: Large responses behind a slow request
    Given a route of kind "download" and 2 hosts
    And responses of 150000 bytes
    When a caller sends "GET 600, GET 50, GET 50", 0 ms apart
    Then the statuses are "200, 200, 200", the last one after 600 to 900 ms

  # Guards against responses that wait for their turn and occupy the slots of the
  # instance on the same host, which has finished its work for them.
  Scenario Outline: Responses that wait for their turn leave the instance free
    Given a route of kind "idempotent" and 1 host
    And 3 slots at the instance
    And responses of <length> bytes
    When a caller sends "GET 900, GET 50, GET 50", and another caller sends a request 300 ms later
    Then the other caller has its response within 100 ms

    Examples:
      | length |
      | 1000   |
      | 150000 |

  # Guards against a planned stop that leaves requests unanswered which have been
  # read, and against reading more of them.
  Scenario: A node shuts down with requests in its pipeline
    Given a route of kind "idempotent" and 2 hosts
    When a node drains while 4 pipelined requests have been read and 2 more arrive
    Then 4 responses arrive in order, and only the last of them closes the connection
    And the shutdown reports that it interrupted nothing

  # Guards against work for callers that have left.
  Scenario: A caller leaves with requests in its pipeline
    Given a route of kind "idempotent" and 2 hosts
    When a caller leaves while 3 pipelined requests run and a fourth waits for its turn
    Then nothing of it runs 300 ms later
    And the log has 4 lines with "event=caller_left request_id=r"
    And the log has 0 lines with "event=pipelined_requests_discarded"

  # Guards against tasks for connections whose callers wait for each response.
  Scenario: Connections without pipelining
    Given a route of kind "idempotent" and 1 host
    When 10 callers send 3 requests each, one after another
    Then each connection has one task, and nothing was read ahead

  # Guards against dropping requests of a caller that has closed only its sending
  # side, on nodes that keep such connections.
  Scenario: A caller closes its sending side behind its requests
    When a caller of a product node sends "/slow/2, /a, /slow/1" and closes its sending side
    Then it receives 3 responses in order within 2.5 s, and the connection ends

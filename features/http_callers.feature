Feature: Callers are served over kept connections and are noticed when they go

  # Guards against answers in another order than their requests.
  Scenario Outline: A caller sends several requests at once to node <node>
    When a caller sends requests for "/slow/2, /a, /slow/1, /b" at once to node "<node>"
    Then it gets the answers of "/slow/2, /a, /slow/1, /b" in this order

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a caller that uploads to an instance that refuses it.
  Scenario Outline: A caller of node <node> expects 100 Continue
    When a caller of node "<node>" expects 100 Continue
    Then it gets 100 once the instance has admitted it, and none when refused

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against an answer that is withheld from a half-closed caller.
  Scenario Outline: A caller of node <node> closes its sending side and waits
    When a caller of node "<node>" sends a request, closes its sending side and waits
    Then it gets its answer

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against upstream work for nobody.
  Scenario Outline: A caller of node <node> goes away
    When a caller of node "<node>" goes away while its request runs
    Then the upstream sees the request end within a second

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against connections that callers hold without an end.
  Scenario: Slow and idle callers
    When callers send nothing, half a head, and half a body
    Then they are closed with "none, 408, 408" after "60, 10, 30" seconds

  Scenario: More callers wait than a node permits
    When 8200 callers wait for their next request
    Then the 8 that have waited longest are closed

  # Guards against a shutdown that interrupts a request or waits for idle
  # callers.
  Scenario: A node drains
    When a node drains while one caller waits for an answer and one is idle
    Then the idle connection ends at once, the other after its answer

  # Guards against headers of one connection that reach the next.
  Scenario Outline: Headers on the way to the upstream through node <node>
    When a caller sends hop-by-hop, forwarding and control headers to node "<node>"
    Then the upstream gets the right headers and so does the caller

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against metrics that grow with each name that a caller invents.
  Scenario: Tenants that the configuration does not list
    When callers of tenants "club, invented-1, invented-2" send requests
    Then the metrics know the tenants "club, other"

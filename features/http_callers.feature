Feature: Callers use persistent connections and may disconnect at any time

  # Guards against responses that are sent in another order than their requests.
  Scenario Outline: A caller pipelines requests to node <node>
    When a caller pipelines requests for "/slow/2, /a, /slow/1, /b" to node "<node>"
    Then it receives the responses to "/slow/2, /a, /slow/1, /b" in this order

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against a caller that sends the body of a request before an instance
  # has admitted it, or although the request is refused.
  Scenario Outline: A caller of node <node> expects 100 Continue
    When a caller of node "<node>" expects 100 Continue
    Then it receives 100 when its request is admitted, but not if it is refused

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against withholding the response from a caller that has closed only
  # its sending side.
  Scenario Outline: A caller of node <node> closes its sending side and waits
    When a caller of node "<node>" sends a request, closes its sending side and waits
    Then it receives its response

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against upstream work for callers that have disconnected.
  Scenario Outline: A caller of node <node> disconnects
    When a caller of node "<node>" disconnects while its request runs
    Then the request's connection to the upstream is closed within a second

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against callers that keep connections open indefinitely.
  Scenario: Slow and idle callers
    When callers send nothing, half a head, and half a body
    Then their connections are closed with status "none, 408, 408" after "60, 10, 30" s

  # Guards against idle connections without limit.
  Scenario: More connections are idle than a node permits
    When 8200 callers wait for their next request
    Then the 8 that have been idle longest are closed

  # Guards against a shutdown that interrupts a request or waits for idle
  # callers.
  Scenario: A node drains
    When a node drains while one caller waits for a response and one is idle
    Then the idle connection is closed at once, the other after its response

  # Guards against forwarding headers that apply only to the caller's
  # connection, and against an upstream that gets a wrong depth, attempt or
  # remaining time.
  Scenario Outline: Headers that node <node> forwards to the upstream
    When a caller sends hop-by-hop, forwarding and control headers to node "<node>"
    Then hop-by-hop headers are removed and the others are updated

    Examples:
      | node |
      | a1   |
      | b1   |

  # Guards against metrics that grow with each organisation name that a caller
  # invents.
  Scenario: Organisations that the configuration does not list
    When callers of organisations "club, invented-1, invented-2" send requests
    Then the metrics have the organisation labels "club, other"

Feature: Choosing an instance by zone, load reports and reachability

  # Guards against traffic between zones that makes no response faster.
  Scenario: The local zone is preferred while it has spare capacity
    Given instances "a1, b1, c1" in zones "a, b, c" seen from zone "b"
    When 20 requests are routed sequentially
    Then all go to "b1"

  # Guards against a burst of requests to the local zone's instance while it is
  # slow.
  Scenario: A reported slowdown diverts requests for a short time
    Given instances "a1, b1" in zones "a, b" seen from zone "b"
    When "b1" reports slowdown factor 5 and a request is routed immediately
    Then it goes to "a1"
    And 0.1 s later a request goes to "b1" again

  # Guards against a connection attempt to a dead host for each request.
  Scenario: An unreachable node is avoided unless no other remains
    Given instances "a1, b1" in zones "a, b" seen from zone "b"
    When "b1" is unreachable
    Then a request goes to "a1"
    And a request that was already sent to "a1" goes to "b1"

  # Guards against new requests to a zone that operators have withdrawn, to a
  # leaving instance and to a dead node.
  Scenario: Instances that accept no requests are excluded
    Given instances "a1, b1, c1, d1" in zones "a, b, c, d" seen from zone "b"
    When zone "b" is withdrawn, "c1" leaves and the node beside "d1" is dead
    Then a request goes to "a1"

  # Guards against sending all requests to one of several equal instances.
  Scenario: Requests in flight are spread over the instances of a zone
    Given instances "b1, b2, b3" in zones "b, b, b" seen from zone "b"
    When 30 requests are routed and stay in flight
    Then each instance has 10 of them

  # Guards against a division that deviates from the weights over short periods.
  Scenario: A traffic split matches its weights over any 100 requests
    Given a route with weights 90 and 10
    When 1000 requests are divided
    Then the second service gets between 9 and 11 of each 100

  # Guards against nodes that all send their first requests to the same service.
  Scenario: Many nodes with few requests each match the weights
    Given a route with weights 70 and 30
    When 200 nodes divide 5 requests each
    Then the second service gets between 250 and 350 of them

  # Guards against a retry storm when all requests fail on all nodes.
  Scenario: Retries of all nodes stay within their shared budget
    Given 12 nodes that share a budget of 60 retries and 0.2 per request in 10 s
    When each node gets 20 requests per second for 30 s and retries if permitted
    Then no period of 10 s has more than 60 retries plus 0.2 per request

  # Guards against retried requests whose calls, retried in turn, exceed the
  # retry budget of the called service (found by a random benchmark run of
  # wkn-mesh scale-1, seed 785065501080).
  Scenario: Calls of retried requests stay within the called service's budget
    Given 12 nodes that share a budget of 60 retries and 0.2 per request in 10 s
    When for 20 s a third of 300 requests per second run and fail, and each run makes 2 calls that are refused as not run
    Then the called service gets no more than 60 repeated calls plus 0.2 per call in any period of 10 s

  # Guards against memory that grows with each request of a service whose
  # requests are never retried.
  Scenario: A budget without retries keeps the requests of its window only
    Given 1 nodes that share a budget of 60 retries and 0.2 per request in 10 s
    When the node gets 20 requests per second for 1000 s and retries none
    Then its budget occupies at most 20000 bytes

  # Guards against one organisation's failures that use up the retries of all,
  # or of its own later requests.
  Scenario: The retries of one organisation leave the others their part
    Given 1 nodes that share a budget of 20 retries and 0.2 per request in 10 s
    When 150 requests of "hot" and then 50 of "quiet" fail, twice within 11 s
    Then "hot" gets 22 retries and "quiet" gets 7, each time

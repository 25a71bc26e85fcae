Feature: The queue of requests for an instance

  # Guards against a request that starts before one of lower rank after requests
  # have arrived, left or become late.
  Scenario: The first request of the queue has the lowest rank
    When 4000 requests arrive and leave at random, seed 5
    Then the first request was always the one with the lowest rank

  # Guards against a choice whose cost grows with the queue. It used up a node's
  # processor share at three times the usual load (incident wkn-mesh-gone).
  Scenario: The first request of a long queue is found without ranking each one
    When 400 requests are queued and the first is looked up 100 times
    Then the ranks of at most 300 requests are computed

  # Guards against hundreds of waiting tasks that wake up only to wait again. At
  # 50 us each, 500 wake-ups in a second take the 2.5 % of a core that control
  # work may use.
  Scenario: Late requests in the queue cause few wake-ups
    Given an instance with 4 slots and slowdown factor 1
    When 100 late requests wait for 1 s behind running ones
    Then at most 500 task steps were needed

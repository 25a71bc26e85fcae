Feature: The line of requests that wait for an instance

  # Guards against an order that differs from the rank of each request while
  # requests come, go and become late.
  Scenario: The first of the line has the lowest rank of all
    When 4000 requests come and go at random, seed 5
    Then the first was always the one with the lowest rank

  # Guards against a choice whose cost grows with the line: a node's processor
  # share was used up by it under three times the load (incident wkn-mesh-gone).
  Scenario: The first of a long line is found without a look at each
    When 400 requests wait and the first is asked for 100 times
    Then the ranks of at most 300 requests are computed

  # Guards against hundreds of waiting tasks that wake up only to wait on. At
  # 50 us each, 500 in a second are the 2.5 % of a core that control may cost.
  Scenario: Late requests that wait cost few wake-ups
    Given an instance with 4 slots at pace 1
    When 100 requests that are late wait for 1 s behind running ones
    Then at most 500 task steps were needed

Feature: Routing chooses the instance with the lowest expected latency

  # Guards against an instance that attracts requests because it fails them
  # faster than others serve them.
  Scenario: An instance that fails fast loses its traffic within a few requests
    Given 5 instances of which "i0" fails at once
    When 200 requests are routed one after another
    Then "i0" got at most 4 requests

  # Guards against callers that wait for an instance that is 10 times slower
  # than the others.
  Scenario: A slow instance loses its traffic within a few requests
    Given 5 instances of which "i0" takes 10 times as long
    When 200 requests are routed one after another
    Then "i0" got at most 12 requests

  # Guards against an instance that stays unused after it has recovered, so that
  # the others carry its load.
  Scenario: An instance that recovers gets its traffic back
    Given 5 instances of which "i0" fails at once
    When 200 requests are routed one after another
    And "i0" recovers and 2 s pass
    And 200 requests are routed one after another
    Then "i0" got at least 20 requests

  # Guards against requests that each lose a round trip to a node whose instance
  # is gone, until the member table reflects that.
  Scenario: An instance whose node refused with instance_gone is avoided at once
    Given 5 instances of which "i0" is gone
    When 50 requests are routed one after another
    Then "i0" got at most 1 requests

  # Guards against sending all requests to an instance that reported no load
  # until its next report shows the load of these requests.
  Scenario: An old report of a low load does not attract all requests
    Given 5 instances of which "i0" last reported no load
    When 40 requests are started at once
    Then "i0" got at most 12 requests

  # Guards against requests that pay for a round trip to another zone while the
  # local instance has free slots, and against requests that queue in the local
  # zone while the other one is idle.
  Scenario: Requests stay in their zone until queueing outweighs a round trip
    Given 2 instances in availability zones "a, b"
    When 8 requests are started at once
    Then "i0" got at least 4 requests
    And "i1" got at least 1 requests

  # Guards against connections and state of a gateway that grow with the number
  # of instances, and against subsets that put more load on some instances.
  Scenario: A gateway uses at most 24 instances and all get similar load
    Given 35 instances
    When 200 gateways route 50 requests each
    Then each gateway used at most 24 instances
    And no instance got more than 1.5 times the mean

  # Guards against full load on instances whose caches are empty.
  Scenario: A zone that returns to service is ramped
    Given 6 instances in availability zones "a, b, a, b, a, b"
    When zone "b" is taken out of service and returns
    And 18 requests are started at once
    Then zone "b" got at most 3 requests

  # Guards against requests to a member that is dead, leaving or has changed its
  # service, and against a member that gets none, because the index missed a
  # change.
  Scenario: The service index equals the member table after any changes
    Given 5 instances
    Then the index equals the table after any member changes

  # Guards against a cost of each request that grows with the number of members.
  Scenario: Choosing an instance does not iterate over the member table
    Given 35 instances
    When 1 gateways route 50 requests each
    Then the member table was iterated 1 times

  # Guards against a ramp that begins with the first request after an idle
  # period, when the zone has been back for some time.
  Scenario: A ramp starts with the configuration, not with the next request
    Given 6 instances in availability zones "a, b, a, b, a, b"
    When zone "b" is taken out of service and returns
    And 2 s pass without requests
    And 18 requests are started at once
    Then zone "b" got at least 5 requests

  # Guards against state that grows with each replaced instance.
  Scenario: The state of removed instances is dropped
    Given 5 instances
    When 100 members are replaced one after another
    Then the router holds state for at most 6 instances

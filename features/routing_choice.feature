Feature: Requests go to the instance that will probably answer first

  Scenario: A fail-fast instance loses its traffic within a few requests
    Given 5 instances of which "i0" fails at once
    When 200 requests are routed one after another
    Then "i0" got at most 4 requests

  Scenario: A straggler loses its traffic within a few requests
    Given 5 instances of which "i0" takes 10 times as long
    When 200 requests are routed one after another
    Then "i0" got at most 12 requests

  Scenario: An instance that recovers gets its traffic back
    Given 5 instances of which "i0" fails at once
    When 200 requests are routed one after another
    And "i0" recovers and 2 s pass
    And 200 requests are routed one after another
    Then "i0" got at least 20 requests

  Scenario: An instance whose node refused with instance_gone is avoided at once
    Given 5 instances of which "i0" is gone
    When 50 requests are routed one after another
    Then "i0" got at most 1 requests

  Scenario: One old report of a low load does not attract all requests
    Given 5 instances of which "i0" last reported no load
    When 40 requests are started at once
    Then "i0" got at most 12 requests

  Scenario: Requests stay in their zone until its queue costs more than the trip
    Given 2 instances in availability zones "a, b"
    When 8 requests are started at once
    Then "i0" got at least 4 requests
    And "i1" got at least 1 requests

  Scenario: A gateway uses at most 24 instances and spreads over the fleet
    Given 35 instances
    When 200 gateways route 50 requests each
    Then each gateway used at most 24 instances
    And no instance got more than 1.5 times the mean

  Scenario: A zone that returns to service is ramped
    Given 6 instances in availability zones "a, b, a, b, a, b"
    When zone "b" is taken out of service and returns
    And 18 requests are started at once
    Then zone "b" got at most 3 requests

  Scenario: Any order of member changes leaves the index equal to the table
    Given 5 instances
    Then the index equals the table after any member changes

  Scenario: A choice does not walk the member table
    Given 35 instances
    When 1 gateways route 50 requests each
    Then the member table was walked 1 times

  Scenario: A ramp runs from the configuration on, not from the next request
    Given 6 instances in availability zones "a, b, a, b, a, b"
    When zone "b" is taken out of service and returns
    And 2 s pass without requests
    And 18 requests are started at once
    Then zone "b" got at least 5 requests

  Scenario: Instances that are gone are forgotten
    Given 5 instances
    When 100 members are replaced one after another
    Then the router holds state for at most 6 instances

Feature: Admission control limits concurrency and sheds load fairly

  # Guards against exceeded or leaked slots and against requests that wait
  # forever, in any order of arrivals, releases, timeouts and cancellations.
  Scenario: Slots are never exceeded or leaked, and no request waits forever
    When requests arrive, end, time out and are cancelled in any order
    Then the invariants of admission control hold

  # Guards against a request that queues while another instance has a free slot.
  Scenario: A request that may not queue is refused at once
    Given admission control with 1 slot in use
    When a request of "club" that may not queue arrives
    Then it is refused as "no_free_slot", did not run and may be retried

  # Guards against a request that waits for a slot until its deadline passes.
  Scenario: A request that would wait past its deadline is refused early
    Given admission control with 1 slot in use
    And requests take 1 s and 3 are queued
    When a request of "club" with 2 s to its deadline arrives
    Then it is refused as "queue_too_long", did not run and may be retried

  # Guards against shedding a call on which requests of other services depend
  # while a less critical request stays in the queue.
  Scenario: A request that other services depend on is shed last
    Given admission control with 1 slot in use
    And the queue is full of requests of criticality 0
    When a request of criticality 2 arrives
    Then a queued request of criticality 0 is shed instead

  # Guards against an organisation that fills the queue and thereby shuts out others.
  Scenario: A full queue sheds requests of the organisation that exceeds its share
    Given admission control with 1 slot in use
    And the queue is full of requests of criticality 2
    When a request of another organisation arrives with criticality 0
    Then a queued request of criticality 2 is shed instead

  # Guards against an organisation that gets less than its share of the slots while
  # another organisation's requests are queued.
  Scenario: Organisations are served in proportion to their weights
    Given admission control with 1 slot in use
    And organisations "club" and "parish" with weights 3 and 1 queue 8 requests each
    When slots become free 8 times
    Then "club" was served 6 times and "parish" 2 times

  # Guards against requests that wait for an upstream that shuts down.
  Scenario: A leaving upstream refuses queued requests at once
    Given admission control with 1 slot in use
    And requests take 1 s and 3 are queued
    When the upstream announces that it is leaving
    Then all queued requests are refused as "upstream_leaving" and did not run
    And the request in flight keeps its slot

  # Guards against shedding a call on which several services depend as readily
  # as any other, and against callers that raise the criticality of their
  # requests by naming a service that does not depend on the called one.
  Scenario: Criticality counts the services that depend on the calling service
    Given coaching depends on reservas and reservas on lanes
    Then a call to "lanes" has criticality 2 from "reservas", 0 from "coaching" and 0 from ""

  # Guards against a baseline measurement, which halves the limit, during the
  # first burst after an idle period. It happened at all instances at once.
  Scenario: A burst after an idle period gets the full limit
    Given a warm concurrency limit of 6
    When no request arrives for 100 s
    And full load follows for 1 s
    Then the limit was never below 6

  # Guards against a baseline that is never measured again. A measurement halves
  # the limit.
  Scenario: The baseline latency is still measured under sustained load
    Given a warm concurrency limit of 6
    When full load follows for 6 s
    Then the limit was 3 at some time

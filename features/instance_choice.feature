Feature: The instances that a request is sent to one after the other

  # Guards against a second request that a roll-out doesn't count: a canary that
  # refused one has the shortest queue, because it gets few.
  Scenario: A request that a canary refused does not queue there
    Given zones "a, b"
    And a canary instance "a0"
    When it refuses a request as full with a shorter wait than the others
    Then the request queues at the others, and is sent to the canary once

  # Guards against a refusal while other zones have room: after the latency
  # target a request doesn't leave its zone for a shorter wait, and three queues
  # of its own zone refused it because of the deadline.
  Scenario: The last queue that may refuse a request is in a zone with room
    Given zones "a, b"
    When the instances of zone "a" refuse a request that has missed its target
    Then the request queues in zone "a" 2 times and then in zone "b"

  # Guards against a large response that waits, or leaves its zone, while an
  # instance there has room: two refusals say nothing about the others.
  Scenario: A large response is tried at an instance that was not asked yet
    Given zones "a, b"
    When two instances of zone "a" refuse a request for a large response
    Then the next attempt is at the third instance of zone "a"

  # Guards against attempts at each instance of a zone whose nodes know earlier
  # than the gateway that it is out of service.
  Scenario: A zone that is out of service is tried once
    Given zones "a, b"
    When zone "a" is full and the nodes of zone "b" are out of service
    Then at most 1 attempt is sent to zone "b"

  # Guards against requests that yield in the queues of other zones although
  # their own zone can't be reached, and could then be served nowhere.
  Scenario Outline: Requests of an unreachable zone carry no mark
    Given zones "a, b"
    When all instances of zone "a" are suspected and those of zone "b" refuse a <kind> response
    Then the request queues in zone "b" without a mark

    Examples:
      | kind  |
      | short |
      | large |

Feature: The instances that a request is sent to one after the other

  # Guards against a second request that a roll-out doesn't count: a canary that
  # refused one has the shortest queue, because it gets few.
  Scenario: A request that a canary refused does not queue there
    Given zones "a, b"
    And a canary instance "a0"
    When it refuses a request as full with a shorter wait than the others
    Then the request queues at the others, and is sent to the canary once

Feature: Fair queueing between organisations

  # Guards against quiet organisations that are refused because another sends
  # many times its usual demand.
  Scenario: One organisation at 7 times its usual demand beside quiet ones
    Given 10 organisations with usual demand and 1 with 7 times, of priority 1
    When they send to an instance that serves 40 requests a second
    Then at least 80 of 100 requests of those with usual demand are served
    And no tenth of the organisations is served less than a quarter as often as all

  # Guards against a reference that follows the organisations above their share.
  Scenario: Two organisations at 7 times their usual demand
    Given 4 organisations with usual demand and 2 with 7 times, of priority 1
    When they send to an instance that serves 40 requests a second
    Then at least 60 of 100 requests of those with usual demand are served
    And no tenth of the organisations is served less than a quarter as often as all

  # Guards against an organisation that gets nothing when the others fill the
  # capacity.
  Scenario: One organisation at 20 times its usual demand
    Given 13 organisations with usual demand and 1 with 20 times, of priority 1
    When they send to an instance that serves 40 requests a second
    Then at least 40 of 100 requests of those with usual demand are served
    And no tenth of the organisations is served less than a quarter as often as all

  # Guards against an organisation whose urgent requests leave nothing for the
  # less urgent ones of the others: none of these was served.
  Scenario: An organisation of higher priority at 7 times its usual demand
    Given 10 organisations with usual demand and 1 with 7 times, of priority 0
    When they send to an instance that serves 40 requests a second
    Then at least 40 of 100 requests of those with usual demand are served
    And no tenth of the organisations is served less than a quarter as often as all

  # Guards against requests that yield although no organisation is above its
  # share: some are seen with their new usage ratio earlier than others.
  Scenario: A burst of all organisations
    Given 0 organisations with usual demand and 10 with 3 times, of priority 1
    When they send to an instance that serves 40 requests a second
    Then no organisation counts as above its share

  # Guards against decisions from a missing usage ratio.
  Scenario: The usage ratios are unknown
    Given 10 organisations with usual demand and 1 with 7 times, of priority 1
    When they send without usage ratios
    Then no organisation counts as above its share

  # Guards against a share that takes precedence over priorities.
  Scenario: Requests above their share yield to those of their priority only
    Given an instance with 1 slots and slowdown factor 1
    When these requests queue behind a running one
      | name           | priority | usage ratio |
      | less urgent    | 2        | 0.5         |
      | above share    | 1        | 5.0         |
      | within share   | 1        | 0.5         |
      | urgent above   | 0        | 5.0         |
    Then they start in the order "urgent above, within share, above share, less urgent"

  # Guards against requests that leave their zone, or choose another queue,
  # because of queued requests that would yield to them.
  Scenario: The wait that a refusal reports depends on the share
    Given an instance with 2 slots and slowdown factor 1
    When 4 requests above their share queue and 2 others are refused at once
    Then the wait reported to "usual-0" is below 0.1 s
    And the wait reported to "above share" is above 0.3 s

  # Guards against a Retry-After that sends a caller back to the next refusal.
  Scenario: An organisation that pauses for the Retry-After time is served
    Given an instance with 4 slots and slowdown factor 1
    When an organisation above its share is refused and pauses as long as told
    Then it was told to pause between 1.5 s and 2 s
    And its usage ratio has fallen to that of the others
    And its next request starts before its latency target

  # Guards against an organisation that alternates between two positions, or
  # yields because of a small difference.
  Scenario: An organisation yields and returns with hysteresis
    When the usage ratios of an organisation, relative to the others, are "1.3 1.5 1.3 1.1 1.3"
    Then it is above its share for "1.5 1.3"

  # Guards against memory that grows with each route that a configuration names
  # and each organisation that sends, and against a mean over routes that no
  # longer exist.
  Scenario: An instance forgets routes and organisations that are gone
    When 5000 routes and organisations are used one after another for 50 s
    Then at most 200 routes are known, among them the last one
    And at most 201 organisations are known, and the mean is that of the last routes

  # Guards against a queue of two positions that finds another first request
  # than a scan of the whole queue would.
  Scenario: The first request has the lowest rank with requests above their share
    When 2000 requests, half of them above their share, arrive and leave, seed 3
    Then the first request was always the one with the lowest rank

  # Guards against a usage ratio or an organisation that is lost on the way to
  # the decision, which then treats all requests alike.
  Scenario: A request carries its organisation to the queue and to the budget
    When a request of "club" with usage ratio 1.5 fails at an instance
    Then the instance's queue gets the ratio 1.5 of "club"
    And a retry is asked for "club"

  # Guards against counts that miss requests, and against a number of
  # organisations that stays when they have stopped.
  Scenario: The metrics show how many requests and organisations yield
    Given a node whose instance runs one request at a time
    When 12 requests of an organisation above its share arrive at once
    Then the metrics count those refused for it and those that yielded
    And they show 1 organisation that yields, and 0 after 3 s

  # Guards against series at nodes whose requests belong to no organisation.
  Scenario: Requests without a usage ratio leave no trace in the metrics
    Given a node whose instance runs one request at a time
    When 12 requests without a usage ratio arrive at once
    Then the metrics show nothing of shares

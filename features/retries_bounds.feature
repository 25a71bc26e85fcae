Feature: Retries are bounded and never run a non-idempotent request twice

  # Guards against retries at each service of a chain, which multiply the load
  # on the failing service at its end.
  Scenario: Attempts stay bounded in a chain of 25 services whose end fails
    Given a chain of 25 services whose last instances are lost
    When 400 idempotent requests are sent into the chain
    Then the last service received at most 1.1 attempts for each request plus 10

  # Guards against sending each request to one full instance after another,
  # which multiplies the work of all nodes under overload.
  Scenario: Redirects are bounded when every instance is full
    Given 5 instances that refuse with "no_free_slot" at step "admit"
    When 400 requests are sent to them
    Then each request had at most 6 attempts
    And there were at most 1.5 attempts for each request plus 10

  # Guards against a request that queues at a full instance before the other one
  # was tried, and against a refusal before the request was permitted to queue
  # at each of them.
  Scenario: An attempt may queue only if no other instance can be tried first
    Given 2 instances that refuse with "no_free_slot" at step "admit"
    When 1 requests are sent to them
    Then the attempts permitted queueing as "no, yes, yes"

  # Guards against a second run of a non-idempotent request whose first instance
  # was lost.
  Scenario: A non-idempotent request whose outcome is unknown is not retried
    Given 2 instances that are lost
    When a non-idempotent request is sent to them
    Then it had 1 attempts and its outcome is "unknown"

  # Guards against a not-run for a request that the first instance may have run
  # before it was lost.
  Scenario: The outcome stays unknown if an attempt before a refusal may have run
    Given 2 instances that are lost first and then refuse
    When 1 requests are sent to them
    Then it had 2 attempts and its outcome is "unknown"

  # Guards against retries of retries: each service of a chain would multiply
  # the attempts at the next one.
  Scenario: A request that was retried earlier in its chain is not retried
    Given 2 instances that are lost
    When a request with attempt 2 is sent to them
    Then it had 1 attempts and its outcome is "unknown"

  # Guards against a caller that gets the 503 of one instance although another
  # instance could have run the request.
  Scenario: A request is retried at another instance after a response of 503
    Given 2 instances of which one responds with 503
    When 20 requests are sent to them
    Then every request got status 200

  # Guards against work of an instance for a caller whose deadline has passed.
  Scenario: No attempt is sent after the deadline
    Given 2 instances that refuse after the deadline
    When 1 requests are sent to them
    Then it had 1 attempts and its outcome is "not-run"

  # Guards against a caller that waits forever, and against a not-run for a
  # request that the instance may have run.
  Scenario: A request to an instance that never responds ends at the deadline
    Given 2 instances that never respond
    When 1 requests are sent to them
    Then it had 1 attempts and its outcome is "unknown"

  # Guards against more retries than permitted, which keep a failing service
  # overloaded.
  Scenario: Retries stay within the budget for any sequence of calls and retries
    Then retries never exceed the ratio plus the initial tokens

  # Guards against a request that is refused although a full instance could have
  # queued it, because an instance that is gone counts as an alternative.
  Scenario: A request queues at a full instance if no other accepts it
    Given 3 instances of which one is gone and the others are full
    When 5 requests are sent to them
    Then every request after the first was permitted to queue at "i1" or "i2"

  # Guards against a refusal of a request that a full instance could have
  # queued, because the request had been refused there before the others were
  # tried.
  Scenario: A request returns to a full instance if the others are gone
    Given instances "i0" that is full and "i1" that is gone
    When 1 requests are sent to them
    Then every request got status 200

  # Guards against calls of an upstream that outlast their caller's deadline,
  # are retried again or form an endless chain, and against headers of a caller
  # that cause an exception.
  Scenario: Headers pass on depth, attempt and remaining time
    Then an upstream receives the next depth, the attempt and the remaining time
    And any headers of a caller give a valid attempt and depth or an error

Feature: Retries are bounded and never repeat what may not run twice

  Scenario: Total work stays bounded at a depth of 25 when everything fails
    Given a chain of 25 services whose last instances are lost
    When 400 idempotent requests are sent into the chain
    Then the last service ran at most 1.1 times the requests plus 10

  Scenario: Refusals at no cost are bounded when every instance is full
    Given 5 instances that refuse with "no_free_slot" at step "admit"
    When 400 requests are sent to them
    Then each request had at most 6 tries
    And all tries are at most 1.5 times the requests plus 10

  Scenario: A try may queue only when no other instance can be asked first
    Given 2 instances that refuse with "no_free_slot" at step "admit"
    When 1 requests are sent to them
    Then the tries permitted queueing as "no, yes, yes"

  Scenario: A non-idempotent request whose outcome is unknown is not retried
    Given 2 instances that are lost
    When a non-idempotent request is sent to them
    Then it had 1 tries and its outcome is "unknown"

  Scenario: A refusal after a try that may have run does not claim not-run
    Given 2 instances that are lost first and then refuse
    When 1 requests are sent to them
    Then it had 2 tries and its outcome is "unknown"

  Scenario: A request that was retried above is not retried again
    Given 2 instances that are lost
    When a request with attempt 2 is sent to them
    Then it had 1 tries and its outcome is "unknown"

  Scenario: An answer 503 is replaced once by that of another instance
    Given 2 instances of which one answers 503
    When 20 requests are sent to them
    Then every request got status 200

  Scenario: No try is sent after the deadline
    Given 2 instances that refuse after the deadline
    When 1 requests are sent to them
    Then it had 1 tries and its outcome is "not-run"

  Scenario: An instance that never answers does not outlive the deadline
    Given 2 instances that never answer
    When 1 requests are sent to them
    Then it had 1 tries and its outcome is "unknown"

  Scenario: Any order of calls and retries keeps the budget
    Then retries never exceed the ratio and the first tokens

  Scenario: The last instance that is not avoided may queue
    Given 3 instances of which one is gone and the others are full
    When 5 requests are sent to them
    Then every request after the first had a try that may queue at "i1" or "i2"

  Scenario: A request goes back to a full instance when the others are gone
    Given instances "i0" that is full and "i1" that is gone
    When 1 requests are sent to them
    Then every request got status 200

  Scenario: An upstream learns depth, attempt and time left
    Then headers that are written for an upstream read back one level deeper
    And headers of any caller give an attempt and a depth

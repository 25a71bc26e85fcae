Feature: A non-idempotent request runs at most once

  Background:
    Given a cluster of nodes "a1, b1, c1" with upstreams beside "b1, c1"

  # Guards against a second run of a request that its caller repeats: without a
  # key, no node can recognize the copy.
  Scenario: A request without a key is refused
    When "POST /book" is sent to "a1" without a key as "first"
    Then "first" gets status 400 with code "key_required" and outcome "not-run"
    And "POST /book" ran 0 times

  # Guards against a second run after the claim has been deleted: without a
  # date, the key can't be recognized as too old.
  Scenario: A key without a date is refused
    When "POST /book" is sent to "a1" with key "monday" as "first"
    Then "first" gets status 400 with code "key_invalid" and outcome "not-run"
    And "POST /book" ran 0 times

  # Guards against a second run with a key whose claim may have been deleted,
  # and against a not-run for a request that may have run under it.
  Scenario: A key older than the claim window is refused with an unknown outcome
    When "POST /book" is sent to "a1" with a key dated -3601 s as "first"
    Then "first" gets status 409 with code "key_expired" and outcome "unknown"
    And "POST /book" ran 0 times

  # Guards against a second run with a key that is accepted for longer than its
  # claim is kept.
  Scenario: A key from the future is refused
    When "POST /book" is sent to "a1" with a key dated 62 s as "first"
    Then "first" gets status 400 with code "key_from_future" and outcome "not-run"
    And "POST /book" ran 0 times

  # Guards against idempotent requests that use up the log's appends and fail
  # while the log is down.
  Scenario: An idempotent request needs no key and makes no claim
    When "PUT /book" is sent to "a1" without a key as "first"
    Then "first" gets status 200
    And the log holds 0 claims

  # Guards against a second run of a request, or an error in place of its
  # response, when the caller repeats it through another node.
  Scenario: The same request through another node gets the stored response
    When "POST /book" is sent to "a1" with key K as "first"
    And 1 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    Then "first" gets status 200
    And "second" is the response of "first", replayed
    And "POST /book" ran 1 time

  # Guards against a second run of a request whose copy has the same key in
  # another spelling.
  Scenario: A key in upper case is the same key
    When "POST /book" is sent to "a1" with key K as "first"
    And 1 s passes
    And "POST /book" is sent to "b1" with key K in upper case as "second"
    Then "second" is the response of "first", replayed
    And "POST /book" ran 1 time

  # Guards against an organisation that gets the stored response of another organisation,
  # because both have used the same key.
  Scenario: The same key of another organisation is a different key
    When "POST /book" is sent to "a1" with key K as "first"
    And "POST /book" is sent to "b1" with key K for organisation "parish" as "second"
    Then "second" gets status 200
    And "POST /book" ran 2 times

  # Guards against a caller that gets the response to its earlier request for a
  # new one, because it has used the key again.
  Scenario: The same key with another body is refused
    When "POST /book" is sent to "a1" with key K and 30000 bytes "x" as "first"
    And "POST /book" is sent to "b1" with key K and 30000 bytes "y" as "second"
    Then "first" gets status 200
    And "second" gets status 422 with code "key_reused" and outcome "not-run"
    And "POST /book" ran 1 time

  # Guards against a second run of a request that is repeated through another
  # node before the first run has ended.
  Scenario: A copy through another node is refused while the first request runs
    Given the upstreams work for 4 s
    When "POST /book" is sent to "a1" with key K as "first" without waiting
    And 1 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    And 5 s passes
    And "POST /book" is sent to "c1" with key K as "third"
    Then "first" gets status 200
    And "second" gets status 409 with code "in_progress" and outcome "unknown"
    And "third" is the response of "first", replayed
    And "POST /book" ran 1 time

  # Guards against a second run of a request whose gateway was killed before it
  # could record the outcome.
  Scenario: A copy does not run after the gateway of the first request was killed
    Given the upstreams work for 4 s
    When "POST /book" is sent to "a1" with key K as "first" without waiting
    And 1 s passes
    And node "a1" is killed
    And "POST /book" is sent to "b1" with key K as "second"
    And 12 s passes
    And "POST /book" is sent to "b1" with key K as "third"
    Then "second" gets status 409 with code "in_progress" and outcome "unknown"
    And "third" gets status 409 with code "outcome_unknown" and outcome "unknown"
    And "POST /book" ran 1 time

  # Guards against a second run of a request after the hosts of all upstreams
  # were replaced, including the one that ran it.
  Scenario: A copy gets the stored response after the upstream's host was replaced
    When "POST /book" is sent to "a1" with key K as "first"
    And 1 s passes
    And node "b1" is killed
    And node "c1" is killed
    And node "d1" starts with an upstream
    And 4 s passes
    And "POST /book" is sent to "d1" with key K as "second"
    Then "second" is the response of "first", replayed
    And "POST /book" ran 1 time

  # Guards against a second run of a request, or a refusal of its copy as
  # not-run, while the stored response can't be read from the log.
  Scenario: A copy does not run while the log is down
    When "POST /book" is sent to "a1" with key K as "first"
    And 2 s passes
    And the log goes down
    And 1 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    And the log comes back
    And 2 s passes
    And "POST /book" is sent to "c1" with key K as "third"
    Then "second" has outcome "unknown"
    And "third" is the response of "first", replayed
    And "POST /book" ran 1 time

  # Guards against a request that runs without a claim during an outage of the
  # log, a key that stays unusable after it, and idempotent requests that fail
  # because of it.
  Scenario: A new request while the log is down runs once the log is back
    Given 2 s passes
    When the log goes down
    And "POST /book" is sent to "a1" with key K as "first"
    And "GET /free" is sent to "a1" without a key as "read"
    And the log comes back
    And 2 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    Then "first" gets status 503 with code "log_unavailable" and outcome "not-run"
    And "first" has a retry-after header
    And "read" gets status 200
    And "second" gets status 200
    And "POST /book" ran 1 time

  # Guards against a caller that waits until its deadline of 10 s for a log that
  # accepts requests but does not respond.
  Scenario: A request is refused in time while the log does not respond
    Given 2 s passes
    When the log stops responding
    And 4 s passes
    And "POST /book" is sent to "a1" with key K as "first"
    Then "first" gets status 503 with code "log_unavailable" and outcome "not-run"
    And "first" took at most 5 s
    And "POST /book" ran 0 times

  # Guards against a request that is refused although its claim was appended,
  # and against a second run of it.
  Scenario: A request runs once if the response to its claim's append is lost
    When the log loses its next response
    And "POST /book" is sent to "a1" with key K as "first"
    And 1 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    Then "first" gets status 200
    And "second" is the response of "first", replayed
    And "POST /book" ran 1 time

  # Guards against a not-run for a request whose claim may be in the log, and
  # against a key that stays blocked by that claim although its request never
  # started.
  Scenario: A claim that may have been appended before an outage is unknown
    When the log loses its next response and goes down
    And "POST /book" is sent to "a1" with key K as "first"
    And the log comes back
    And 10 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    Then "first" has outcome "unknown"
    And "second" gets status 200
    And "POST /book" ran 1 time

  # Guards against a request that can't be repeated with its key although it was
  # refused as not-run.
  Scenario: The claim of a request that no instance accepts is released
    Given "b1, c1" no longer have upstreams
    When "POST /book" is sent to "a1" with key K as "first"
    And node "d1" starts with an upstream
    And 3 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    Then "first" gets status 503 with code "no_instance" and outcome "not-run"
    And "second" gets status 200
    And "POST /book" ran 1 time

  # Guards against a second run of a request when nodes with different member
  # tables act as owners of the same partition.
  Scenario: A key runs once while several nodes own all partitions
    Given each node considers itself the owner of all partitions
    When "POST /book" is sent to "a1, b1, c1" at once with key K as "any"
    Then "POST /book" ran 1 time

  # Guards against a second run of a request whose response exceeds the 16 KiB
  # that are stored for copies.
  Scenario: A response that is too large to store is recorded as complete
    Given the upstreams respond with 20000 bytes
    When "POST /book" is sent to "a1" with key K as "first"
    And 1 s passes
    And "POST /book" is sent to "b1" with key K as "second"
    Then "first" gets status 200
    And "second" gets status 409 with code "already_completed" and outcome "unknown"
    And "POST /book" ran 1 time

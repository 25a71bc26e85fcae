Feature: Claims hold under any sequence of faults

  # Guards against a second run, and against a refusal as not-run of a request
  # that has run, in sequences of faults that no other scenario covers.
  Scenario: Several owners on one log run each key at most once
    When the claims machine runs 150 examples with the correct ledger
    Then no key ran twice and no key that ran was reported as not-run
    And the machine received the results "200, in_progress, outcome_unknown, no_instance, log_unavailable, claim_unknown, key_expired"

  # Guards against a machine that misses the second run of a request whose claim
  # is replaced by a later one.
  Scenario: The machine detects a ledger whose last claim wins
    When the claims machine runs 150 examples with a ledger whose last claim wins
    Then the machine finds a violation

  # Guards against a machine that misses the second run of a request whose claim
  # is released by the gateway of another request with its key.
  Scenario: The machine detects a ledger that releases for any claim id
    When the claims machine runs 150 examples with a ledger that releases for any claim id
    Then the machine finds a violation

  # Guards against a machine that misses the second run of a request whose claim
  # is deleted while its key is still accepted.
  Scenario: The machine detects a ledger that expires claims early
    When the claims machine runs 150 examples with a ledger that expires claims early
    Then the machine finds a violation

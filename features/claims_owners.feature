Feature: Owners of one partition need not know of each other

  Scenario: An owner that was paused loses to the one that acted meanwhile
    Given 3 owners of one partition
    When owner 0 is paused
    And key 1 is claimed at owner 0 with a request that answers
    And key 1 is claimed at owner 1 with a request that answers
    And owner 0 is resumed after 8 s
    Then key 1 ran 1 time
    And the answers of key 1 are "200, claim_timeout"

  Scenario: A gateway that is paused beyond its deadline does not start
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that is late
    And 1 s goes by
    And key 1 is claimed at owner 1 with a request that answers
    And 40 s goes by
    And key 1 is claimed at owner 1 with a request that answers
    Then key 1 ran 0 times
    And the answers of key 1 are "in_progress, deadline_exceeded, key_expired"

  Scenario: A new owner does not grant a key whose claim the log has lost
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that answers
    And 10 s goes by
    And the log drops records older than 5 s
    And owner 1 is replaced
    And 1 s goes by
    And key 1 is claimed at owner 1 with a request that answers
    Then key 1 ran 1 time
    And the answers of key 1 are "200, claim_unknown"

  Scenario: A claim is forgotten once its key is refused by its date
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that answers
    And 140 s goes by
    And key 1 is claimed at owner 0 with a request that answers
    Then key 1 ran 1 time
    And the answers of key 1 are "200, key_expired"
    And owner 0 holds 0 claims

  Scenario: Claims beyond the append rate share appends
    Given 3 owners of one partition
    When 500 keys are claimed at owner 0 within 1 s
    Then each of them ran once
    And the log took at most 80 appends

  # Guards against a second run of a keyed request after the log has lost all
  # records: owner 1 had not read the claim that owner 0 appended just before
  # the outage, and an empty stream looked like one without claims
  # (processes.feature, "The log restarts without its records").
  Scenario: An owner does not grant a key from before the log lost its records
    Given 3 owners of one partition
    When owner 1 is paused
    And key 1 is claimed at owner 0 with a request that answers
    And the log is down from now on
    And owner 1 is resumed after 1 s
    And the log is back without its records
    And key 1 is claimed at owner 1 with a request that answers
    And 10 s goes by
    And key 2 is claimed at owner 1 with a request that answers
    Then key 1 ran 1 time
    And the answers of key 1 are "200, claim_unknown"
    And the answers of key 2 are "200"

  # Guards against the same where the owner had read records before.
  Scenario: An owner notices that the log has fewer records than it has read
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that answers
    And 2 s goes by
    And key 2 is claimed at owner 0 with a request that answers
    And the log is down from now on
    And 2 s goes by
    And the log is back without its records
    And key 2 is claimed at owner 1 with a request that answers
    Then key 2 ran 1 time
    And the answers of key 2 are "200, claim_unknown"

  # Guards against a false not-run: owner 1 has not read the claim that owner 0
  # appended just before the outage.
  Scenario: An owner that missed a claim does not say not-run without the log
    Given 3 owners of one partition
    When owner 1 is paused
    And key 1 is claimed at owner 0 with a request that answers
    And the log is down from now on
    And owner 1 is resumed after 0 s
    And key 1 is claimed at owner 1 with a request that answers
    Then key 1 ran 1 time

Feature: Several owners of one partition grant each key at most once

  # Guards against a second run of a request when an owner resumes and decides a
  # claim without those that other owners appended during its pause.
  Scenario: A paused owner does not grant a key that was granted meanwhile
    Given 3 owners of one partition
    When owner 0 is paused
    And key 1 is claimed at owner 0 with a request that would succeed
    And key 1 is claimed at owner 1 with a request that would succeed
    And owner 0 is resumed after 8 s
    Then key 1 ran 1 time
    And the results of key 1 are "200, claim_timeout"

  # Guards against a request that runs when its gateway resumes after 30 s,
  # although its deadline has passed and its key has expired.
  Scenario: A gateway that is paused past the deadline does not run the request
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request whose gateway is paused
    And 1 s goes by
    And key 1 is claimed at owner 1 with a request that would succeed
    And 40 s goes by
    And key 1 is claimed at owner 1 with a request that would succeed
    Then key 1 ran 0 times
    And the results of key 1 are "in_progress, deadline_exceeded, key_expired"

  # Guards against a second run of a request whose claim the log's retention has
  # removed before the new owner of the partition read it.
  Scenario: A new owner does not grant a key whose claim the log has dropped
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that would succeed
    And 10 s goes by
    And the log drops records older than 5 s
    And owner 1 is replaced
    And 1 s goes by
    And key 1 is claimed at owner 1 with a request that would succeed
    Then key 1 ran 1 time
    And the results of key 1 are "200, claim_unknown"

  # Guards against expired claims that fill the memory of an owner, and against
  # a second run with a key whose claim has been deleted.
  Scenario: A claim is deleted once its key has expired
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that would succeed
    And 140 s goes by
    And key 1 is claimed at owner 0 with a request that would succeed
    Then key 1 ran 1 time
    And the results of key 1 are "200, key_expired"
    And owner 0 holds 0 claims

  # Guards against overload of the log, which handles several hundred appends
  # per second, and against claims that wait until their deadline for appends of
  # their own.
  Scenario: Claims that exceed the append rate share appends
    Given 3 owners of one partition
    When 500 keys are claimed at owner 0 within 1 s
    Then each of them ran once
    And the log received at most 80 appends

  # Guards against a second run of a request after the log has lost all records:
  # owner 1 has not read the claim that owner 0 appended just before the outage,
  # and the empty stream looks like one that never had claims
  # (processes.feature, "The log restarts without its records").
  Scenario: An owner does not grant a key from before the log lost its records
    Given 3 owners of one partition
    When owner 1 is paused
    And key 1 is claimed at owner 0 with a request that would succeed
    And the log becomes unavailable
    And owner 1 is resumed after 1 s
    And the log returns without its records
    And key 1 is claimed at owner 1 with a request that would succeed
    And 10 s goes by
    And key 2 is claimed at owner 1 with a request that would succeed
    Then key 1 ran 1 time
    And the results of key 1 are "200, claim_unknown"
    And the results of key 2 are "200"

  # Guards against the same at an owner that started during the outage, when
  # another node seemed to be gone. It has read nothing of the stream.
  Scenario: An owner that started during an outage does not grant a key from before
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that would succeed
    And the log becomes unavailable
    And owner 1 is replaced
    And 2 s goes by
    And the log returns without its records
    And key 1 is claimed at owner 1 with a request that would succeed
    And 10 s goes by
    And key 2 is claimed at owner 1 with a request that would succeed
    Then key 1 ran 1 time
    And the results of key 1 are "200, claim_unknown"
    And the results of key 2 are "200"

  # Guards against a second run of a request whose claim was lost with the log's
  # records, at an owner that had read earlier records of the stream.
  Scenario: An owner notices that the log has fewer records than it has read
    Given 3 owners of one partition
    When key 1 is claimed at owner 0 with a request that would succeed
    And 2 s goes by
    And key 2 is claimed at owner 0 with a request that would succeed
    And the log becomes unavailable
    And 2 s goes by
    And the log returns without its records
    And key 2 is claimed at owner 1 with a request that would succeed
    Then key 2 ran 1 time
    And the results of key 2 are "200, claim_unknown"

  # Guards against a refusal as not-run of a request that has run: owner 1 has
  # not read the claim that owner 0 appended just before the outage.
  Scenario: An owner that missed a claim does not say not-run without the log
    Given 3 owners of one partition
    When owner 1 is paused
    And key 1 is claimed at owner 0 with a request that would succeed
    And the log becomes unavailable
    And owner 1 is resumed after 0 s
    And key 1 is claimed at owner 1 with a request that would succeed
    Then key 1 ran 1 time

Feature: All readers of the log agree on the configuration

  # Guards against readers of the same records that come to different
  # configurations, and against a return to an older version.
  Scenario: Readers agree and never revert, whatever the log contains
    Then readers agree despite restarts, truncation, repeated records and adoption

  # Guards against a reader that needs records which the log's retention has
  # removed.
  Scenario: A reader of a truncated log starts from a checkpoint
    Given a log with 120 publications and a checkpoint after 100 of them
    When the first 90 records expire
    And a new reader follows the log
    Then the reader has version 120 without a gap

  # Guards against a reader that counts versions from the remaining records
  # only, and so has another version than readers of the whole log.
  Scenario: A reader of a truncated log without a checkpoint has no state
    Given a log with 120 publications and a checkpoint after 30 of them
    When the first 90 records expire
    And a new reader follows the log
    Then the reader has no configuration and reports a gap

  # Guards against a reader that applies publications without knowing their base
  # version, and so accepts one that other readers have rejected.
  Scenario: A reader that missed records keeps its version until a checkpoint
    Given a log with 120 publications and a checkpoint after 100 of them
    When a reader follows the log up to offset 20
    And the first 90 records expire
    Then the reader keeps version 20 and reports a gap
    And the reader has version 120 without a gap after reading to the end

  # Guards against a peer's configuration that is reported as confirmed by the
  # log.
  Scenario: A peer's configuration is unverified until the log is read
    Given a log with 120 publications and a checkpoint after 100 of them
    When a new reader adopts version 110 from a peer
    Then the reader is unverified at version 110
    And the reader has version 120 without a gap after reading to the end

  # Guards against a return to an old version because of a faulty checkpoint at
  # a recent offset.
  Scenario: A checkpoint with a lower version does not revert a reader
    Given a log with 120 publications and a checkpoint after 100 of them
    When a reader follows the log up to offset 20
    And the first 110 records expire
    And a checkpoint of version 5 as of offset 115 is appended
    Then the reader keeps version 20 and reports a gap after reading to the end

  # Guards against a version that the log does not contain, put in force by a
  # faulty peer.
  Scenario: A peer's configuration that contradicts the log is ignored
    Given a log with 120 publications and a checkpoint after 100 of them
    When a new reader follows the log
    Then the reader does not adopt version 500 as of offset 3 from a peer
    And the reader has version 120 without a gap

  # Guards against an undecodable record that stops every reader.
  Scenario: A malformed record is ignored
    Given a log with 3 publications and a checkpoint after 2 of them
    When malformed records are appended
    And a new reader follows the log
    Then the reader has version 3 without a gap

  # Guards against nodes that each write a checkpoint, and against nodes that
  # write none before the log's retention removes the records.
  Scenario: The nodes together write one checkpoint for each interval
    Given a cluster of size 3 with a checkpoint interval of 600 seconds
    When the nodes run for 1500 seconds after a publication
    Then the log contains 3 checkpoints

  # Guards against a node that has no configuration until the log is back.
  Scenario: During an outage a node adopts the configuration of a peer
    Given a cluster of size 2 with a checkpoint interval of 600 seconds
    When the log is down for 60 seconds and the second node adopts a peer's configuration
    Then the second node reported it as unverified during the outage
    And the second node has verified it 5 seconds after the outage

  # Guards against a node that calls a log without long polls in a tight loop.
  Scenario: A log that responds at once without records is polled with a delay
    Given a cluster of size 1 with a checkpoint interval of 600 seconds
    When the log responds to reads at once without records for 60 seconds
    Then the node read the log at most 40 times

  # Guards against nodes that notice a publication only at their next poll.
  Scenario: A publication is in force on each node at once
    Given a cluster of size 6 with a checkpoint interval of 600 seconds
    When 20 publications are made
    Then each is in force on each node within 0.1 seconds of virtual time

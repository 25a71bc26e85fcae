Feature: All readers of the log agree on the configuration

  Scenario: Readers agree and never revert, whatever the log holds
    Then readers with any start, truncation, repetition and outage agree

  Scenario: A reader of a truncated log starts from a checkpoint
    Given a log with 120 publications and a checkpoint after 100 of them
    When the first 90 records expire
    And a new reader follows the log
    Then the reader has version 120 without a gap

  Scenario: A reader of a truncated log without a checkpoint has no state
    Given a log with 120 publications and a checkpoint after 30 of them
    When the first 90 records expire
    And a new reader follows the log
    Then the reader has no configuration and reports a gap

  Scenario: A node that lost records keeps its version until a checkpoint
    Given a log with 120 publications and a checkpoint after 100 of them
    When a reader follows the log up to offset 20
    And the first 90 records expire
    Then the reader keeps version 20 and reports a gap
    And the reader has version 120 without a gap after it read to the end

  Scenario: Text from a peer is unverified until the log was read
    Given a log with 120 publications and a checkpoint after 100 of them
    When a new reader adopts version 110 from a peer
    Then the reader is unverified at version 110
    And the reader has version 120 without a gap after it read to the end

  Scenario: A wrong checkpoint with a lower version reverts nothing
    Given a log with 120 publications and a checkpoint after 100 of them
    When a reader follows the log up to offset 20
    And the first 110 records expire
    And a checkpoint of version 5 as of offset 115 is appended
    Then the reader keeps version 20 and reports a gap after it read to the end

  Scenario: A peer that contradicts the log is not believed
    Given a log with 120 publications and a checkpoint after 100 of them
    When a new reader follows the log
    Then the reader does not adopt version 500 as of offset 3 from a peer
    And the reader has version 120 without a gap

  Scenario: A malformed record is ignored
    Given a log with 3 publications and a checkpoint after 2 of them
    When malformed records are appended
    And a new reader follows the log
    Then the reader has version 3 without a gap

  Scenario: Nodes write one checkpoint before the retention ends
    Given 3 nodes with a checkpoint interval of 600 seconds
    When the nodes run for 1500 seconds after a publication
    Then the log holds 3 checkpoints

  Scenario: A node without state takes the text from a peer in an outage
    Given 2 nodes with a checkpoint interval of 600 seconds
    When the log is down for 60 seconds and the second node adopts the text
    Then the second node reported the text as unverified during the outage
    And the second node has verified the text 5 seconds after the outage

  Scenario: A log that answers at once without records is not asked in a loop
    Given 1 nodes with a checkpoint interval of 600 seconds
    When the log answers reads at once without records for 60 seconds
    Then the node asked the log at most 40 times

  Scenario: A publication is in force on each node at once
    Given 6 nodes with a checkpoint interval of 600 seconds
    When 20 publications are made
    Then each was in force on each node within 0.1 seconds of virtual time

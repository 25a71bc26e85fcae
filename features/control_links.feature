Feature: A control link that ends is recorded, and costs its neighbours little

  # Guards against links that end without a trace because one side can't send:
  # only failures to receive were logged, and only by the side that had opened
  # the link (review/7).
  Scenario: A link that fails while it sends is recorded by both nodes
    Given 2 nodes that know each other
    When one node fails 3 times to send on its control links
    Then that node has recorded ends of links with code "internal"
    And the other node has recorded ends of links with code "truncated"

  # Guards against a log that is filled by a link which ends each time that it
  # is opened.
  Scenario: Frequent ends of links are logged once a second for each peer
    Given a record of link ends
    When links with 2 peers end 500 times each within 2.5 seconds
    Then 6 lines are logged, which account for all ends but the last ones
    And all 1000 ends are counted

  # Guards against a report that a node accepts and can't send to its
  # neighbours: each of its links ended and was opened again at once, so that it
  # and they used a core, and it followed configurations late (review/7).
  Scenario Outline: A node whose instance's report can't be sent keeps its links
    Given 4 hosts of which one gets a report with <content>
    When a configuration with another route follows
    Then all hosts serve the new route within 2 seconds
    And no link has ended since the report

    Examples:
      | content                                 |
      | half a character as version             |
      | half a character as version, other id   |
      | the same, and then the id's departure   |

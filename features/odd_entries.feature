Feature: An odd entry of another writer does not stop a node

  # Guards against a node that ends, and ends again at each start, because it
  # can't read one entry among those of the nodes, or can't dial its address.
  Scenario Outline: Nodes find each other beside an odd directory entry
    Given the directory of nodes holds an entry with <content>
    When two hosts start and a caller of one needs the other's instance
    Then the caller gets a response
    And no node dials an invalid address

    Examples:
      | content                       |
      | 20000 nested lists            |
      | 400 nested lists              |
      | port 99999                    |
      | port 0                        |
      | a port of 5000 digits         |
      | a superscript digit as port   |
      | a host name                   |
      | a number too large            |
      | bytes that are not UTF-8      |
      | an address that is a list     |
      | a key with spaces             |
      | crash records in 400 lists    |
      | crash records of numbers      |
      | crash records at 2^63         |
      | a lone surrogate as address   |
      | crash records of a lone surrogate |

  # Guards against a node that ends or stops following the configuration
  # because one version can't be read. The versions before and after it hold.
  Scenario Outline: Nodes follow the configuration past one that can't be read
    Given the operators' topic gets a configuration with <content>
    When a valid version follows
    Then the node serves the valid version

    Examples:
      | content                       |
      | 20000 nested lists            |
      | 400 nested lists              |
      | a timeout of 1e300            |
      | an infinite timeout           |
      | a priority that is infinite   |
      | a version of 5000 digits      |
      | 20000 nested lists in a zone  |

  # Guards against a configuration of which no route is served because one name
  # in it can't be encoded.
  Scenario: A configuration with a name that is no text is in force
    Given a configuration in which a route's name has a lone surrogate
    When it is written to the store and two hosts have read it
    Then both hosts serve that route and its other routes

  # Guards against an unhandled error in the listener for reports, which ends
  # the node, and against a state that is taken from such a report.
  Scenario Outline: A report with an odd value is rejected
    Given an instance that has reported with start 1000 and sequence 5
    When an odd report with <fault> arrives
    Then the report gets 400 and the instance is still ready

    Examples:
      | fault                         |
      | an infinite sequence          |
      | a sequence of 5000 digits     |
      | a cold time of 1e300          |
      | a negative cold time          |
      | 20000 nested lists            |
      | a start in the far future     |
      | a sequence far too high       |
      | a start of 2^62               |
      | a departure that is nested    |
      | a lone surrogate as version   |
      | an encoded lone surrogate     |
      | a lone surrogate in a new field |
      | a lone surrogate of another id |

  # Guards against arithmetic that fails on the time since a report that there
  # was not.
  Scenario: A first report with the start 0 is handled
    Given a node whose instance has not reported
    When a report with the start 0 arrives
    Then the report gets 200

  # Guards against a forged report after which every true one is outdated, so
  # that the instance's departure would not be followed.
  Scenario Outline: True reports are followed after a forged one
    Given an instance that has reported with start 1000 and sequence 5
    When an odd report with <fault> arrives, and then a true one that is draining
    Then the instance is leaving

    Examples:
      | fault                         |
      | a start in the far future     |
      | a sequence far too high       |

  # Guards against an entry that a node can't dial or encode and passes on, so
  # that each node of the fleet meets it.
  Scenario Outline: A member entry with an odd value goes no further
    Given two hosts of which one got a member entry with <content>
    When it has passed on its members
    Then neither host knows the entry and both still serve requests

    Examples:
      | content                       |
      | port 99999                    |
      | a host name                   |
      | a version of 2^63             |
      | no slots                      |
      | a name of 2000 characters     |

  # Guards against a fault in the handling of one request that ends the node and
  # with it all its other connections.
  Scenario: An unexpected error ends one connection only
    Given a server whose handler fails for one request
    When that request and another one arrive
    Then the first connection is closed and the second is answered

  # Guards against a number or a nesting that a parser can't hold, in any
  # document that comes from outside.
  Scenario Outline: Each decoder rejects generated documents by its own error
    When 300 generated documents are given to the decoder of <source>
    Then each one is decoded or rejected by its own error

    Examples:
      | source                        |
      | status reports                |
      | departures                    |
      | configuration documents       |
      | configuration states          |
      | checked documents             |
      | settings                      |
      | messages between nodes        |
      | records of the store          |
      | load headers                  |
      | publications                  |

  # Guards against a value that is accepted where it enters and can't be encoded
  # for a neighbour, the store or the log, which ended a link each time that it
  # was opened (review/7).
  Scenario: Each report that is accepted can be sent, stored and logged
    When 500 generated reports with lone surrogates are parsed
    Then each one that is accepted can be encoded again

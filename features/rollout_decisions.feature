Feature: The decisions of a roll-out

  # Guards against an exposure limit that holds for each gateway, but not for the
  # sum over many of them, and against none of them ever reaching a request.
  Scenario: The shares of many gateways add up to the share of all requests
    Given 800 gateways that each get 6 requests
    When each may send 0.08 of them to the target version
    Then 384 requests are sent there, give or take 50

  # Guards against a limit that is exceeded where the platform grants no slack.
  Scenario: Without a slack no gateway exceeds its share
    Given 800 gateways that each get 12 requests
    When each may send 0.08 of them to the target version without a slack
    Then no request is sent there

  # Guards against a promotion that arrives after the rollback and revives the
  # target version, and against notices of an earlier order.
  Scenario Outline: The phases of an order only advance
    Given a node that knows phase <known> of order 5
    When it learns of phase <news> of order <order>
    Then it regards phase <result> of order <newest> as the newest

    Examples:
      | known     | news        | order | result      | newest |
      | PROMOTION | STOPPED     | 5     | STOPPED     | 5      |
      | STOPPED   | PROMOTION   | 5     | STOPPED     | 5      |
      | STOPPED   | COMPLETED   | 5     | COMPLETED   | 5      |
      | TRIAL     | ROLLED_BACK | 4     | TRIAL       | 5      |
      | COMPLETED | TRIAL       | 6     | TRIAL       | 6      |

  # Guards against counts that decrease because reports arrive out of order, and
  # against reports that are kept after their roll-out has ended.
  Scenario: The newest report of a node counts until the roll-out ends
    Given a node that knows phase TRIAL of order 5
    When reports with 10, 30 and 20 responses arrive, the last one late
    Then 30 responses are counted
    When it learns of phase COMPLETED of order 5
    Then no reports are kept

  # Guards against a comparison that stops good versions, or needs too many
  # responses of a bad one (docs/design/rollouts.md has the complete table).
  Scenario Outline: The comparison tells good versions from bad ones
    When the comparison runs 10 times on "<version>" with 400 requests a second
    Then it stops the version <stopped> times

    Examples:
      | version                      | stopped |
      | good                         | 0       |
      | good, all fail for 2 s       | 0       |
      | good, one zone 5 times slower | 0       |
      | fails 50 %                   | 10      |
      | 3 times slower               | 10      |

  # Guards against a good version that is stopped because its responses to a fault
  # of both versions are reported before those of the old version.
  Scenario: The reports of a fault arrive from the target version first
    Given a comparison that has seen 1000 good responses
    When both versions fail all requests, which the target reports 0.9 s earlier
    Then the target version is never regarded as bad

  # Guards against a state that is written on the basis of an older read.
  Scenario: A conditional append has no effect after another record
    Given a store whose topic has grown since it was read
    When a node appends on the condition of the earlier end
    Then the append has no effect and the node knows it

  # Guards against a comparison that counts what each ordinary instance does: its
  # short slow periods, its cold start, and a crash.
  Scenario Outline: What ordinary instances do is no evidence
    Given an instance whose responses are counted
    When a response takes 0.2 s <condition>
    Then <count> responses count, <failures> as failures, with latency <latency>

    Examples:
      | condition                      | count | failures | latency |
      | at the usual speed             | 1     | 0        | 200 ms  |
      | with a slowdown factor of 4    | 1     | 0        | 50 ms   |
      | during the cold start          | 1     | 0        | none    |
      | and its status is 500          | 1     | 1        | 200 ms  |
      | while 5 more are lost by a crash | 2   | 1        | 200 ms  |

  # Guards against a roll-out whose deadline is counted from the time at which
  # each node has learned of the order.
  Scenario: The age of an order travels with the configuration
    Given a state with an order that was read 4 s ago
    When another node adopts its text 1 s later
    Then that node knows the order since 5 s

  # Guards against an invalid order that prevents the configuration from coming
  # into force.
  Scenario Outline: An invalid order is ignored
    Given a store with a configuration and the order <order>
    When a node reads the store
    Then the configuration is in force without orders

    Examples:
      | order                                                        |
      | {"service": "lanes", "targetVersion": "v2"}                  |
      | {"service": "lanes", "targetVersion": "", "durationS": 1}    |
      | {"service": "lanes", "targetVersion": "v2", "durationS": -1} |
      | {"service": "other", "targetVersion": "v2", "durationS": 1}  |
      | []                                                           |

  # Guards against the restart of an instance, or of the node beside it, that
  # changes which version a service uses.
  Scenario Outline: The version in use survives restarts
    Given instances of "v1" that started before those of "v2"
    When <event>
    Then the version in use is "v1"

    Examples:
      | event                                                 |
      | all instances of "v1" start again                     |
      | the nodes beside all instances of "v1" start again    |
      | an instance of "v2" has a lower node id               |

  # Guards against a control link that breaks in a fleet of two releases, because
  # the earlier one rejects a field that it does not know.
  Scenario: An earlier release reads entries with versions
    Given an entry of an instance with version "v2"
    When an earlier and this release decode its message
    Then the earlier one reads the entry and this one also the version

  # Guards against a promotion that is completed although much speaks against
  # the version, if not enough to stop it earlier (soak, seed 35033).
  Scenario Outline: A suspicious version is not completed
    Given a promotion, and an old version of whose 88 responses 1 failed
    When the promoted version has <failures> failures in 100 responses
    Then the last state in the store is "<state>"

    Examples:
      | failures | state       |
      | 30       | rolled_back |
      | 2        | completed   |

  # Guards against a bad version that is promoted because the old one failed some
  # requests too, under a fault of its hosts (soak, seeds 35033 and 203).
  Scenario Outline: A version that fails more often than the old one is suspicious
    When a trial has <failures> failures in 22 responses, and <old> in 163 of the old version
    Then the version is <result>

    Examples:
      | failures | old | result         |
      | 6        | 5   | suspicious     |
      | 6        | 40  | not suspicious |
      | 2        | 5   | not suspicious |

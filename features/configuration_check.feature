Feature: Validation of a configuration before publication

  # Guards against an operator who publishes a route or a service that no
  # request reaches, and believes that it is in use.
  Scenario: Entries of a document that can never match
    Given the document "new.json" of version 2 with these entries
      | kind     | name  | spec                                                                      |
      | routes   | first | {"pathPrefix": "/a/"}                                                     |
      | routes   | later | {"pathPrefix": "/a/"}                                                     |
      | routes   | open  | {"pathPrefix": "/b"}                                                      |
      | routes   | port  | {"host": "club.example:80", "pathPrefix": "/c/"}                          |
      | routes   | split | {"pathPrefix": "/d/", "trafficSplit": [{"service": "lanes", "weight": 1}, {"service": "spare", "weight": 0}]} |
      | routes   | typo  | {"pathPrefix": "/e/", "service": "lane"}                                  |
      | services | spare | {}                                                                        |
      | tenants  | club  | {"apiKeys": []}                                                           |
      | route    | wrong | {}                                                                        |
    When the command "check new.json --json" runs
    Then it exits with 0 and has exactly these findings
      | code             | subject                |
      | shadowed_route   | route first            |
      | unmatched_prefix | route open             |
      | unmatched_host   | route port             |
      | weightless_split | route split            |
      | unknown_service  | route typo             |
      | unused_service   | service spare          |
      | no_key           | organisation club      |
      | ignored_entry    | entry 9 (route wrong)  |
    When the command "check new.json --strict" runs
    Then it exits with 8 and prints "new.json: route first: route later has the same host and path prefix and replaces it [shadowed_route]"
    And it prints "new.json: valid, 8 finding(s)"

  # Guards against limits that contradict each other, each of which looks
  # reasonable by itself, and against findings on limits that just fit.
  Scenario: Contradictory limits of a document
    Given the document "new.json" of version 2 with these entries
      | kind     | name   | spec                                                          |
      | routes   | late   | {"pathPrefix": "/a/", "timeoutMs": 300}                       |
      | routes   | many   | {"pathPrefix": "/b/", "timeoutMs": 400, "maxAttempts": 4}     |
      | routes   | fits   | {"pathPrefix": "/c/", "timeoutMs": 400, "maxAttempts": 3}     |
      | routes   | none   | {"pathPrefix": "/d/", "maxAttempts": 0}                       |
      | services | lanes  | {"coldPerS": 0}                                               |
      | tenants  | zero   | {"ratePerS": 5, "burst": 0}                                   |
      | tenants  | small  | {"ratePerS": 100, "burst": 9}                                 |
      | tenants  | enough | {"ratePerS": 100, "burst": 10}                                |
      | tenants  | idle   | {"burst": 10}                                                 |
    When the command "check new.json --json" runs
    Then it exits with 0 and has exactly these findings
      | code                    | subject             |
      | replaced_service        | service lanes       |
      | target_above_timeout    | route late          |
      | attempts_exceed_timeout | route many          |
      | no_attempt              | route none          |
      | no_cold_request         | service lanes       |
      | burst_too_small         | organisation zero   |
      | burst_too_small         | organisation small  |
      | burst_without_rate      | organisation idle   |

  # Guards against a second publication for each further error, and against a
  # key that is printed.
  Scenario: All invalid entries of a document are reported
    Given the document "new.json" of version 2 with these entries
      | kind     | name  | spec                                                |
      | routes   | kind  | {"kind": "sometimes"}                               |
      | services | short | {"maxConnections": null}                            |
      | tenants  | cap   | {"ratePerS": -1}                                    |
      | tenants  | one   | {"apiKeys": ["secret-key"]}                         |
      | tenants  | two   | {"apiKeys": ["secret-key"]}                         |
    When the command "check new.json" runs
    Then it exits with 3 and prints "new.json: entry 1 (routes kind): 'sometimes' is not a valid RouteKind"
    And it prints "new.json: entry 2 (services short): "
    And it prints "new.json: entry 3 (tenants cap): organisation cap: ratePerS is -1"
    And it does not print "secret-key"
    When the command "check new.json --json" runs
    Then it exits with 3 and prints ""valid": false"

  # Guards against a change that the operator did not intend, and against a
  # version that nodes take for an older one.
  Scenario: A document is compared with the one in force
    Given the document "old.json" of version 2 with these entries
      | kind    | name | spec                                               |
      | routes  | lane | {"pathPrefix": "/a/"}                              |
      | tenants | club | {"apiKeys": ["old-key"], "ratePerS": 5, "burst": 5} |
    And the document "new.json" of version 2 with these entries
      | kind    | name | spec                                               |
      | routes  | lane | {"pathPrefix": "/a/", "timeoutMs": 2000}           |
      | routes  | book | {"pathPrefix": "/b/"}                              |
      | tenants | club | {"apiKeys": ["new-key"], "ratePerS": 9, "burst": 5} |
    When the command "check new.json --against old.json" runs
    Then it exits with 0 and prints "- adds route book"
    And it prints "- changes timeout of route lane from 0:00:01 to 0:00:02"
    And it prints "- changes rate of organisation club from 5.0 to 9.0"
    And it prints "- changes the keys of organisation club: 1 added, 1 removed"
    And it prints "[version_not_higher]"
    And it does not print "new-key"
    When the command "check old.json --against old.json --strict" runs
    Then it exits with 0 and prints "- makes no semantic change"
    When the command "check new.json --against missing.json" runs
    Then it exits with 1 and prints "missing.json: "
    When the command "check new.json --published --log 127.0.0.1:1" runs
    Then it exits with 2 and prints "product's text"

  # Guards against a change that is not shown because another route has the same
  # name, and against a version that is then not required to be higher.
  Scenario: Routes of one name are compared one by one
    Given the document "old.json" of version 2 with these entries
      | kind   | name | spec                                     |
      | routes | lane | {"pathPrefix": "/a/"}                    |
      | routes | lane | {"pathPrefix": "/b/"}                    |
    And the document "new.json" of version 2 with these entries
      | kind   | name | spec                                     |
      | routes | lane | {"pathPrefix": "/a/", "timeoutMs": 2000} |
      | routes | lane | {"pathPrefix": "/b/"}                    |
    When the command "check new.json --against old.json" runs
    Then it exits with 0 and prints "- changes timeout of route lane (club.example/a/) from 0:00:01 to 0:00:02"
    And it prints "[version_not_higher]"

  # Guards against findings in the product's text that are overlooked because
  # the text is valid.
  Scenario: Findings and changes of a configuration text
    Given the file "old.json" with all zones in service
    And the file "new.json" with zone "costa-b" out of service
    When the command "check new.json --against old.json" runs
    Then it exits with 0 and prints "- takes availability zone costa-b out of service"
    And it prints "new.json: valid"
    Given the file "odd.json" with the text "{"availability_zones": {"a": {"region": "r"}, "b": {"region": "s", "in_service": false}}, "services": {"lanes": {"idempotent_targets": ["/a/", "/a/b/"], "timeout_ms": 5}}}"
    When the command "check odd.json --json" runs
    Then it exits with 0 and has exactly these findings
      | code                | subject       |
      | covered_target      | service lanes |
      | probe_above_timeout | service lanes |
      | closed_region       | region s      |
    When the command "check odd.json --log 127.0.0.1:1 --patience 0.2" runs
    Then it exits with 5 and prints "odd.json was not checked"

  # Guards against a check that compares with another version than `publish`
  # would replace, and against a zone that gets requests without an upstream.
  Scenario: A configuration text is compared with the log and the running nodes
    Given a running log and 3 running nodes
    And the file "old.json" with all zones in service
    And the file "new.json" with zone "costa-b" out of service
    When the command "publish old.json --log LOG --yes --node NODE --wait 10" runs
    Then it exits with 0 and prints "accepted as version 1"
    When the command "check new.json --log LOG" runs
    Then it exits with 0 and prints "new.json: compared with version 1, it"
    And it prints "- takes availability zone costa-b out of service"
    Given an upstream of "lanes" that is announced to one node
    When the command "check old.json --node NODE --json" runs
    Then it exits with 0 and has exactly these findings
      | code                      | subject                   |
      | zone_without_upstreams    | availability zone costa-a |
      | zone_without_upstreams    | availability zone costa-b |
      | service_without_upstreams | service reservas          |

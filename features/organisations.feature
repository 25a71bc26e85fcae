Feature: Organisations and their keys on the users' platform

  # Guards against a request that an instance takes for another organisation's
  # because its caller set the header, and against a key that instances see.
  # CGI and WSGI servers don't tell `_` in the name of a header from `-`.
  Scenario Outline: An instance learns the organisation and not the key
    Given a platform with organisations and hosts "h1, h2"
    When a request with key "key-club" and "<header>" of "parish" is sent to "h1"
    Then the request gets status 200
    And the instance gets the organisation "club" and no key

    Examples:
      | header    |
      | tenant-id |
      | Tenant_Id |

  # Guards against a configuration of large responses that is refused as a
  # whole, so that no request is served.
  Scenario: A route with large responses is served
    Given a platform with organisations and hosts "h1"
    When a request with key "key-club" is sent for "/maps/x"
    Then the request gets status 200

  # Guards against requests that run for a caller whom no organisation knows,
  # and against two keys of which each node may choose another.
  Scenario Outline: A request without a known key gets 401
    Given a platform with organisations and hosts "h1"
    When a request with <authorization> is sent
    Then the request gets status 401 and nothing ran

    Examples:
      | authorization                            |
      | no authorization                         |
      | authorization "Token key-unknown"        |
      | authorization "Token"                    |
      | authorization "Basic key-club"           |
      | authorization "key-club"                 |
      | authorization "Token key-club key-club"  |
      | authorization "Token KEY-CLUB"           |
      | authorization "Token key-club\xff"       |
      | a key of 8000 bytes                      |
      | two authorization lines                  |

  # Guards against a parser's error that quotes the line with the key in the log.
  Scenario Outline: A malformed request doesn't bring its key into the log
    Given a platform with organisations and hosts "h1"
    When the request "<head>" is sent as it is
    Then it gets status <status> and the log doesn't contain its key

    Examples:
      | head                                                                                        | status |
      | GET /lanes/x HTTP/1.1\r\nhost: club.example\r\nauthorization : Token key-club\r\n\r\n         | 400    |
      | GET /lanes/x HTTP/1.1\r\nhost: club.example\r\nauthorization Token key-club\r\n\r\n          | 400    |
      | authorization: Token key-club\r\n\r\n                                                       | 400    |
      | GET /public/x HTTP/1.1\r\nhost: club.example\r\ntransfer-encoding: chunked\r\n\r\nkey-club\r\n | 502    |

  # Guards against a public route that asks for a key, and against an
  # organisation on it that the caller made up.
  Scenario Outline: A public route needs no key
    Given a platform with organisations and hosts "h1"
    When a request with <authorization> and the header of "parish" is sent for "/public/x"
    Then the request gets status 200
    And the instance gets the organisation "<organisation>" and no key

    Examples:
      | authorization                     | organisation |
      | no authorization                  |              |
      | authorization "Token key-unknown" |              |
      | authorization "Token key-club"    | club         |

  # Guards against a public path that leads to one which needs a key, once the
  # instance has resolved its dot segments.
  Scenario Outline: A public path with a parent segment needs a key
    Given a platform with organisations and hosts "h1"
    When a request with <authorization> and the header of "parish" is sent for "<target>"
    Then the request gets status <status>

    Examples:
      | authorization                  | target                   | status |
      | no authorization               | /public/../lanes/x       | 401    |
      | no authorization               | /public/%2e%2E/lanes/x   | 401    |
      | no authorization               | /public/..;a/lanes/x     | 401    |
      | no authorization               | /public/..%2flanes/x     | 401    |
      | no authorization               | /public/..\lanes/x       | 401    |
      | no authorization               | /public/a/..             | 401    |
      | authorization "Token key-club" | /public/../lanes/x       | 200    |
      | no authorization               | /public/..a/...?b=/../c  | 200    |

  # Guards against a key that was taken away and is still accepted on a
  # connection that was open before.
  Scenario: A key that is taken away is refused on open connections
    Given a platform with organisations and hosts "h1"
    When the key "key-club" is taken away while a connection is open
    Then the requests on the connection get 200 before and 401 after

  # Guards against a request that still runs although its key was taken away
  # while it was queued at an instance, or behind another one of its connection,
  # and against one that is refused because of another key of its organisation.
  Scenario Outline: A key is taken away while a request waits
    Given a platform with organisations and hosts "<hosts>"
    When a key is taken away while a request with <key> waits <place>
    Then the running request gets 200 and the one that waits <status>
    And the metrics count the refusals "<reasons>"

    Examples:
      | hosts  | key             | place                 | status | reasons   |
      | h1     | this key        | at the instance       | 401    | withdrawn |
      | h1     | another key     | at the instance       | 200    |           |
      | h1     | this key        | behind another one    | 401    | withdrawn |
      | h1, h2 | this key        | at a distant instance | 401    | withdrawn |
      | h1, h2 | another key     | at a distant instance | 200    |           |

  # Guards against one key that identifies two organisations, of which each node
  # may take another, and against keys in the texts of errors.
  Scenario Outline: A configuration with unclear organisations is refused as a whole
    When a configuration is read in which <fault>
    Then it is refused with "<reason>"

    Examples:
      | fault                        | reason                            |
      | two organisations share a key | have the same key                 |
      | an organisation occurs twice | two organisations                 |
      | a key is not a string        | a key is not a token              |
      | a key contains a space       | a key is not a token              |
      | a key is a long number       | number out of range               |
      | a byte is not UTF-8          | not UTF-8 text                    |
      | a rate is negative           | ratePerS is -1                    |
      | a rate is infinite           | ratePerS is inf                   |
      | a name contains a line break | is not the name of an organisation |

  # Guards against an organisation's urgent requests that are treated like those
  # of the route.
  Scenario: An organisation's priority precedes that of the route
    Given a platform with organisations and hosts "h1"
    When heads with the keys of both organisations are read
    Then the priorities are 0 for "club" and 1 for "parish"

  # Guards against a key that was taken away and is accepted for as long as a
  # node can't learn of it, where operators ask for the opposite.
  Scenario Outline: Nodes that can't confirm the configuration
    Given a platform with organisations and hosts "h1, h2"
    And keys are <policy> while the configuration can't be confirmed
    When the store is unreachable for <cut> for <seconds> s and requests are sent to "h1"
    Then the requests get <statuses>

    Examples:
      | policy   | cut         | seconds | statuses      |
      | refused  | all         | 4       | 200, 200      |
      | refused  | all         | 8       | 200, 503      |
      | refused  | "h1"        | 8       | 200, 200      |
      | accepted | all         | 8       | 200, 200      |

  # Guards against a heartbeat that arrives late, for example after a pause of
  # the process, and confirms the configuration as if it had just been sent.
  Scenario Outline: Late heartbeats confirm the configuration for less time
    Given a platform with organisations and hosts "h1, h2, h3, h4"
    And keys are refused while the configuration can't be confirmed
    When the last heartbeats to "<host>" arrive 1.4 s late and <seconds> s pass
    Then the requests get <statuses>

    Examples:
      | host | seconds | statuses |
      | h1   | 2.0     | 200      |
      | h1   | 4.3     | 503      |

  # Guards against nodes that refuse keys during an upgrade, because their
  # neighbours of the earlier release don't send when a heartbeat was sent.
  Scenario: Heartbeats of an earlier release confirm the configuration
    Given a platform with organisations and hosts "h1, h2, h3, h4"
    And keys are refused while the configuration can't be confirmed
    When all heartbeats are those of an earlier release for 8 s
    Then the requests get 200, 200, 200, 200

  # Guards against an old response of the store, read after a pause of the
  # process, that confirms the configuration as if it were new.
  Scenario: A response that was read too late doesn't confirm the configuration
    Given a platform with organisations and hosts "h1"
    And keys are refused while the configuration can't be confirmed
    When the node reads a response of the store 8 s late and none after it
    Then the requests get 200, 503

  # Guards against refusals that operators can't tell apart, and against series
  # of keys at nodes without organisations.
  Scenario Outline: The metrics count refusals by reason
    Given a platform with organisations and hosts "h1"
    And keys are refused while the configuration can't be confirmed
    When a request with <authorization> is sent after <seconds> s without the store
    Then the metrics count the refusals "<reasons>"

    Examples:
      | authorization                     | seconds | reasons     |
      | no authorization                  | 0       | missing     |
      | authorization "Token key-unknown" | 0       | unknown     |
      | authorization "Token key-club"    | 8       | unconfirmed |
      | authorization "Token key-club"    | 0       |             |

  # Guards against public routes that are refused for the sake of keys, and
  # against nodes that stay closed after the store is back.
  Scenario: Keys are accepted again once the configuration is confirmed
    Given a platform with organisations and hosts "h1, h2"
    And keys are refused while the configuration can't be confirmed
    When the store comes back after 8 s without it
    Then public requests get 200 all the time and those with keys get 503, then 200

  # Guards against nodes that refuse all keys once `failClosed` is set while they
  # run, or after the restart of one of them, because their neighbours don't
  # confirm the configuration to them.
  Scenario Outline: A reload of the settings doesn't end the service
    Given a platform with organisations and hosts "h1, h2, h3, h4"
    When the settings are reloaded with a bound of 5 s, <restarted>, and 8 s pass
    Then the requests get 200, 200, 200, 200

    Examples:
      | restarted       |
      | no node starts  |
      | "h1" starts     |
      | "h3" starts     |

  # Guards against keys that are refused on links that have been up for days,
  # because the clocks of two hosts run at rates that differ slightly.
  Scenario: Clocks of different rates make no heartbeat look late
    When heartbeats of a host whose clock loses 4 s a day arrive for 3 days
    Then none looks later than 0.05 s
    And one that took 3 s longer looks at least 2.9 s late

Feature: Metrics are exposed in the Prometheus text format

  # Guards against a label value that is not escaped, which makes the whole
  # scrape fail.
  Scenario: Every line follows the text format, whatever a label contains
    Given a request of an organisation whose name contains a quote, a backslash and a line break
    When the metrics are rendered
    Then every line follows the text format
    And the metrics contain these lines without the scope's labels
      | line                                                                                                  |
      | # TYPE rhubarbpaddle_request_duration_seconds histogram                                               |
      | rhubarbpaddle_request_duration_seconds_bucket{le="0.128",service="lanes",status="200",tenant="ESCAPED"} 0.0 |
      | rhubarbpaddle_request_duration_seconds_bucket{le="0.256",service="lanes",status="200",tenant="ESCAPED"} 1.0 |
      | rhubarbpaddle_request_duration_seconds_bucket{le="16.0",service="lanes",status="200",tenant="ESCAPED"} 1.0 |
      | rhubarbpaddle_request_duration_seconds_bucket{le="+Inf",service="lanes",status="200",tenant="ESCAPED"} 2.0 |
      | rhubarbpaddle_request_duration_seconds_count{service="lanes",status="200",tenant="ESCAPED"} 2.0       |
      | rhubarbpaddle_request_duration_seconds_sum{service="lanes",status="200",tenant="ESCAPED"} 30.25       |
      | # TYPE rhubarbpaddle_probe_time_seconds_total counter                                                 |
      | rhubarbpaddle_probe_time_seconds_total{service="lanes"} 0.5                                           |
      | rhubarbpaddle_upstream_reported_in_flight{service="lanes"} 3.0                                        |

  # Guards against measurements that are lost or counted twice when
  # OpenTelemetry is loaded, which a node does at its first scrape.
  Scenario: Measurements from before the first scrape are exported once
    Given a request that a node recorded before its first scrape
    When the metrics are rendered, and another request and refusal follow
    Then the metrics contain these lines without the scope's labels
      | line                                                                                                  |
      | rhubarbpaddle_request_duration_seconds_count{service="lanes",status="200",tenant="other"} 2.0         |
      | rhubarbpaddle_refusals_total{code="busy",outcome="not-run",service="lanes"} 2.0                       |

  # Guards against memory that grows with each request of a node that no one
  # scrapes: once there are too many values, they go to fixed buckets.
  Scenario: A node that isn't scraped holds a bounded number of durations
    Given a node that records 10050 requests and isn't scraped
    When the metrics are rendered
    Then the metrics contain these lines without the scope's labels
      | line                                                                                                  |
      | rhubarbpaddle_request_duration_seconds_count{service="lanes",status="200",tenant="other"} 10050.0     |

  # Guards against one label value that can't be encoded, which makes each
  # scrape fail.
  Scenario: A label that is no text is exposed with a question mark
    Given a request of an organisation whose name holds a lone surrogate
    When the metrics are rendered
    Then the metrics contain these lines without the scope's labels
      | line                                                                                                  |
      | rhubarbpaddle_request_duration_seconds_count{service="lanes",status="200",tenant="v1-?"} 1.0          |

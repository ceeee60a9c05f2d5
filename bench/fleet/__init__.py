"""A model of a whole deployment on virtual time, with the real decisions.

`deployments` describes services, requests, load and troubles; `backends`
models backend servers; `network` carries messages between nodes; `world` puts
real gateways, entries, routers and admissions together; `callers` sends the
load; `earnings` says what callers got; `play` is the command line.
"""

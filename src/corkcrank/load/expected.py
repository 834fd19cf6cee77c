"""Computes the expected answer of a request from its input and tenant alone."""

from corkcrank.contracts.configuration import Configuration, Pipeline, ServiceKind
from corkcrank.contracts.identifiers import TenantName
from corkcrank.contracts.messages import Passage
from corkcrank.gateway.pipeline_run import assemble_prompt
from corkcrank.standins import outputs


def expected_text(
    configuration: Configuration,
    pipeline: Pipeline,
    tenant: TenantName,
    question: str,
    max_tokens: int,
) -> str:
    """Return the complete text that the pipeline must return."""
    kinds = {service.name: service.kind for service in configuration.services}
    text = question
    passages: tuple[Passage, ...] = ()
    for stage in pipeline.stages:
        match kinds[stage.service]:
            case ServiceKind.ENCODER:
                text = outputs.encode_text(text)
                passages = ()
            case ServiceKind.RETRIEVER:
                passages = outputs.retrieve(tenant, text)
            case ServiceKind.RERANKER:
                passages = outputs.rerank(passages)
            case _:
                text = outputs.generate(assemble_prompt(question, passages), max_tokens)
    return text
